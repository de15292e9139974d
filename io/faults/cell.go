package faults

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

// Cell is one cell of the fault matrix: a step and the faults that begin when it is first reached.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Name returns the step and the faults, such as "Route/ServerDies+StoreSlow".
func (c Cell) Name() string {
	names := make([]string, 0, len(c.Faults))
	for _, f := range c.Faults {
		names = append(names, f.Name)
	}
	return string(c.Step) + "/" + strings.Join(names, "+")
}

// ReasonNotApplicable returns why a fault can't occur at the step, or "" if all of them can.
func (c Cell) ReasonNotApplicable() string {
	for _, f := range c.Faults {
		if reason := f.ReasonNotApplicable(c.Step); reason != "" {
			return f.Name + ": " + reason
		}
	}
	return ""
}

// Outcome is the result of running a cell.
type Outcome struct {
	Observations Observations
	Violations   []Violation
	// Reached is set if the step was reached, so that the faults began.
	Reached bool
}

// Times and counts of a cell's scenario.
const (
	rounds         = 16
	roundInterval  = 2 * time.Second
	settleTime     = time.Minute
	requestTimeout = 20 * time.Second
	retryDelay     = 5 * time.Second
	maxOrderTries  = 4
)

// RunCell runs the cell's scenario and checks the invariants. A non-empty brokenInvariant disables
// the mechanism that upholds this invariant, to show that Check detects its violation. The caller
// runs it in a testing/synctest bubble, so that its waits take no real time.
func RunCell(cell Cell, brokenInvariant Invariant) (Outcome, error) {
	fleet, err := newFleet(cell, brokenInvariant)
	if err != nil {
		return Outcome{}, fmt.Errorf("start fleet: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := fleet.watchStore(ctx); err != nil {
		cancel()
		return Outcome{}, err
	}
	_ = clock.Wait(ctx, 2*time.Second)
	// The first document is applied without faults, also in cells whose faults begin at a change of
	// the document: while triggered is set, no step begins them.
	fleet.triggered.Store(cell.Step == StepApply || cell.Step == StepDisseminate)
	fleet.applyDocument(firstDocument)
	_ = clock.Wait(ctx, time.Second)
	fleet.triggered.Store(false)
	var scenario sync.WaitGroup
	scenario.Go(fleet.sendTraffic)
	scenario.Go(fleet.runOperator)
	scenario.Wait()
	_ = clock.Wait(ctx, settleTime)
	cancel()
	observations, err := fleet.stop()
	if err != nil {
		return Outcome{}, fmt.Errorf("read bills: %w", err)
	}
	return Outcome{Observations: observations, Violations: Check(ScenarioBounds(), observations), Reached: fleet.triggered.Load()}, nil
}

// sendTraffic sends a round of requests to every instance each roundInterval, and returns once all
// callers have finished.
func (f *Fleet) sendTraffic() {
	var callers sync.WaitGroup
	for round := range rounds {
		for i, n := range f.allInstances() {
			if n.hasEnded() {
				continue
			}
			for k := range 2 {
				callers.Go(func() {
					f.sendRequest(n, f.newSpellingRequest(fmt.Sprintf("%s-%d-%d", n.self.ID, round, k), bothVersions, ""))
				})
			}
			callers.Go(func() {
				f.sendRequest(n, f.newSpellingRequest(fmt.Sprintf("%s-%d-only", n.self.ID, round), smallOnly, ""))
			})
			callers.Go(func() {
				f.sendRequest(n, f.newSpellingRequest(fmt.Sprintf("%s-%d-pin", n.self.ID, round), bothVersions, smallVersion))
			})
			callers.Go(func() { f.placeOrder(i, round) })
		}
		_ = clock.Wait(context.Background(), roundInterval)
	}
	callers.Wait()
}

func (f *Fleet) newSpellingRequest(id string, account value.AccountName, pinned value.VersionKey) value.Request {
	now := time.Now()
	session := value.SessionID("")
	if pinned != "" {
		session = "session-1"
	}
	return value.Request{
		ID: value.RequestID(id), Account: account, Kind: spelling, Session: session, Pinned: pinned,
		Stream: true, Arrived: now, Deadline: now.Add(requestTimeout),
	}
}

// placeOrder sends a reorder request and retries it at the next instance until it is answered or
// maxOrderTries is reached. All callers of a round send the same idempotency key.
func (f *Fleet) placeOrder(first, round int) {
	for try := range maxOrderTries {
		target := f.liveInstance(first + try)
		if target == nil {
			return
		}
		now := time.Now()
		r := f.sendRequest(target, value.Request{
			ID:      value.RequestID(fmt.Sprintf("order-%d-%d-%d", first, round, try)),
			Account: bothVersions, Kind: reorder, Key: value.IdempotencyKey(fmt.Sprintf("key-%d", round)),
			RequestHash: uint64(round) + 1, Arrived: now, Deadline: now.Add(requestTimeout),
		})
		if r.Complete {
			return
		}
		_ = clock.Wait(context.Background(), retryDelay)
	}
}

// runOperator does the control work, in the order of the steps.
func (f *Fleet) runOperator() {
	ctx := context.Background()
	_ = clock.Wait(ctx, 500*time.Millisecond)
	f.applyDocument(nextDocument)
	f.reachStepAtLiveInstance(StepDisseminate)
	_ = clock.Wait(ctx, time.Second)
	f.sendCommand(StepStart, cmds.StartRollOut{Name: rollOut})
	_ = clock.Wait(ctx, 2*time.Second)
	f.sendCommand(StepAdvance, cmds.AdvanceRollOut{Name: rollOut, Stage: 0, Forced: true})
	_ = clock.Wait(ctx, 2*time.Second)
	f.withdrawVersion()
	now := time.Now()
	f.instanceList.markLeaving(leavingServer, now)
	f.record(func(o Observations) Observations {
		return o.WithLeaving(Event[value.ServerID]{Subject: leavingServer, At: now})
	})
	_ = clock.Wait(ctx, time.Second)
	f.allInstances()[2].leave()
}

func (f *Fleet) reachStepAtLiveInstance(s Step) {
	if n := f.liveInstance(1); n != nil {
		f.reachStep(s, n)
	}
}

// sendCommand gives the command to a live instance without waiting for it, and reaches the step there.
func (f *Fleet) sendCommand(s Step, c command) {
	n := f.liveInstance(1)
	if n == nil {
		return
	}
	f.runInBackground(func() { _ = n.loop.Do(n.ctx, c) })
	f.reachStep(s, n)
}

// withdrawVersion sends the operator's order to withdraw the next version until the store holds it,
// at most six times.
func (f *Fleet) withdrawVersion() {
	for range 6 {
		f.sendCommand(StepWithdraw, cmds.WithdrawVersion{Version: nextVersion, Reason: value.ReasonOperator})
		_ = clock.Wait(context.Background(), 2*time.Second)
		e, err := f.faultFreeStore.Get(context.Background(), conf.WithdrawalKey(environment, nextVersion))
		if err == nil && e.Revision > 0 {
			return
		}
	}
}
