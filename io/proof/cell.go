package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
)

// Cell is a step together with the faults that strike at it.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Name returns the step and the faults.
func (c Cell) Name() string {
	names := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		names = append(names, f.Name)
	}
	return string(c.Step) + "/" + strings.Join(names, "+")
}

// Absent returns why the cell can't exist, or nothing.
func (c Cell) Absent() string {
	for _, f := range c.Faults {
		if why := f.Absent(c.Step); why != "" {
			return f.Name + ": " + why
		}
	}
	return ""
}

// Outcome is what became of a cell.
type Outcome struct {
	Facts    Facts
	Breaches []Breach
	// Reached is set where the step was reached, so that the faults struck.
	Reached bool
}

// The times of a cell's scenario.
const (
	rounds     = 16
	roundEvery = 2 * time.Second
	settling   = time.Minute
	patience   = 20 * time.Second
	retryAfter = 5 * time.Second
	keyTries   = 4
)

// Play runs the cell's scenario with one property's mechanism broken, or none; it is to be called in a bubble of virtual time.
func Play(c Cell, broken Line) (Outcome, error) {
	f, err := newFleet(c, broken)
	if err != nil {
		return Outcome{}, fmt.Errorf("start fleet: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := f.watch(ctx); err != nil {
		cancel()
		return Outcome{}, err
	}
	_ = clock.Wait(ctx, 2*time.Second)
	f.struck.Store(c.Step == StepApply || c.Step == StepSpread)
	f.apply(firstDocument)
	_ = clock.Wait(ctx, time.Second)
	f.struck.Store(false)
	var scenario sync.WaitGroup
	scenario.Go(f.traffic)
	scenario.Go(f.operate)
	scenario.Wait()
	_ = clock.Wait(ctx, settling)
	cancel()
	facts, err := f.stop()
	if err != nil {
		return Outcome{}, fmt.Errorf("read bills: %w", err)
	}
	return Outcome{Facts: facts, Breaches: Check(DeskBounds(), facts), Reached: f.struck.Load()}, nil
}

// traffic sends a round of requests to every instance from time to time.
func (f *Fleet) traffic() {
	var callers sync.WaitGroup
	for round := range rounds {
		for i, n := range f.all() {
			if n.ended() {
				continue
			}
			for k := range 2 {
				callers.Go(func() { f.ask(n, f.draft(fmt.Sprintf("%s-%d-%d", n.self.ID, round, k), bothVersions, "")) })
			}
			callers.Go(func() { f.ask(n, f.draft(fmt.Sprintf("%s-%d-only", n.self.ID, round), smallOnly, "")) })
			callers.Go(func() { f.ask(n, f.draft(fmt.Sprintf("%s-%d-pin", n.self.ID, round), bothVersions, smallVersion)) })
			callers.Go(func() { f.order(i, round) })
		}
		_ = clock.Wait(context.Background(), roundEvery)
	}
	callers.Wait()
}

func (f *Fleet) draft(id string, a value.AccountName, pinned value.VersionKey) value.Request {
	now := time.Now()
	session := value.SessionID("")
	if pinned != "" {
		session = "session-1"
	}
	return value.Request{
		ID: value.RequestID(id), Account: a, Kind: spelling, Session: session, Pinned: pinned,
		Stream: true, Arrived: now, Deadline: now.Add(patience),
	}
}

// order places a reorder; every caller of a round sends the same key, and repeats it until it is answered.
func (f *Fleet) order(first, round int) {
	for try := range keyTries {
		n := f.live(first + try)
		if n == nil {
			return
		}
		now := time.Now()
		r := f.ask(n, value.Request{
			ID:      value.RequestID(fmt.Sprintf("order-%d-%d-%d", first, round, try)),
			Account: bothVersions, Kind: reorder, Key: value.IdempotencyKey(fmt.Sprintf("key-%d", round)),
			Question: uint64(round) + 1, Arrived: now, Deadline: now.Add(patience),
		})
		if r.Ended {
			return
		}
		_ = clock.Wait(context.Background(), retryAfter)
	}
}

// operate does the control's work in the order of the steps.
func (f *Fleet) operate() {
	ctx := context.Background()
	_ = clock.Wait(ctx, 500*time.Millisecond)
	f.apply(nextDocument)
	f.reachAt(StepSpread)
	_ = clock.Wait(ctx, time.Second)
	f.command(StepStart, cmds.StartRollOut{Name: rollOut})
	_ = clock.Wait(ctx, 2*time.Second)
	f.command(StepAdvance, cmds.AdvanceRollOut{Name: rollOut, Stage: 0, Forced: true})
	_ = clock.Wait(ctx, 2*time.Second)
	f.withdraw()
	now := time.Now()
	f.list.retire(leavingServer, now)
	f.note(func(x Facts) Facts { return x.WithLeaving(Event[value.ServerID]{Subject: leavingServer, At: now}) })
	_ = clock.Wait(ctx, time.Second)
	f.all()[2].leave()
}

func (f *Fleet) reachAt(s Step) {
	if n := f.live(1); n != nil {
		f.reach(s, n)
	}
}

func (f *Fleet) command(s Step, c command) {
	n := f.live(1)
	if n == nil {
		return
	}
	f.background(func() { _ = n.loop.Do(n.ctx, c) })
	f.reach(s, n)
}

// withdraw repeats the operator's order until the store shows it.
func (f *Fleet) withdraw() {
	for range 6 {
		f.command(StepWithdraw, cmds.WithdrawVersion{Version: nextVersion, Reason: value.ReasonOperator})
		_ = clock.Wait(context.Background(), 2*time.Second)
		e, err := f.inner.Get(context.Background(), conf.WithdrawalKey(environment, nextVersion))
		if err == nil && e.Revision > 0 {
			return
		}
	}
}
