package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/value"
)

var errReplaced = errors.New("another instance answers at the address")

// round probes one instance and lets time pass for the others.
func (m *member) round(ctx context.Context) error {
	if err := m.Control.Do(ctx, cmds.Tick{Timing: m.Timing}); err != nil {
		return fmt.Errorf("let time pass: %w", err)
	}
	begun := time.Now()
	target, ok := query.ProbeTarget(m.Control.Snapshot(), m.Timing, m.rnd, begun)
	if !ok || m.reach(ctx, target) {
		return nil
	}
	if ctx.Err() != nil || m.Timing.WasPausedDuringProbe(begun, time.Now()) {
		return nil
	}
	if err := m.Control.Do(ctx, cmds.Suspect{ID: target.ID, Incarnation: target.Incarnation}); err != nil {
		return fmt.Errorf("suspect instance: %w", err)
	}
	return nil
}

// reach reports whether the target need not be suspected: it, or a helper that reached it, answered.
func (m *member) reach(ctx context.Context, target value.Instance) bool {
	err := m.ping(ctx, target)
	if err == nil {
		return true
	}
	if errors.Is(err, errReplaced) {
		_ = m.Control.Do(ctx, cmds.MarkReplaced{ID: target.ID})
		return true
	}
	helpers := query.IndirectProbers(m.Control.Snapshot(), m.Timing, target.ID, m.rnd, time.Now())
	// A helper needs the time of its own probe and of the way there and back.
	ctx, cancel := context.WithTimeout(ctx, 2*m.Timing.Timeout)
	defer cancel()
	answers := make(chan bool, len(helpers)+1)
	for _, h := range helpers {
		go func() {
			a, err := methodProbe.Call(ctx, m.Caller, h, wireProbe{Target: encodeInstance(target)})
			answers <- err == nil && a.Reached
		}()
	}
	// The first probe may just have been lost.
	go func() { answers <- m.ping(ctx, target) == nil }()
	for range cap(answers) {
		if <-answers {
			return true
		}
	}
	return false
}

// ping exchanges news with the instance.
func (m *member) ping(ctx context.Context, to value.Instance) error {
	bounded, cancel := context.WithTimeout(ctx, m.Timing.Timeout)
	defer cancel()
	message, passed := m.message(to.ID)
	answer, err := methodPing.Call(bounded, m.Caller, to, message)
	if err != nil {
		return err
	}
	if err := m.Control.Do(ctx, passed); err != nil {
		return fmt.Errorf("count news: %w", err)
	}
	if err := m.hear(ctx, answer); err != nil {
		return err
	}
	if answer.From.Instance.ID != string(to.ID) {
		return errReplaced
	}
	return nil
}

// message returns what the instance tells another one, and the command that counts it.
func (m *member) message(to value.InstanceID) (wirePing, cmds.CountSentUpdates) {
	s := m.Control.Snapshot()
	news := query.Updates(s, m.Timing, to)
	ids := make([]value.InstanceID, 0, len(news))
	for _, n := range news {
		ids = append(ids, n.ID)
	}
	return wirePing{From: encodeSelf(s.Self), News: encodeNews(news)}, cmds.CountSentUpdates{IDs: ids}
}

// answerPing replies only after the message is taken in, so that the sender learns a refutation at once.
func (m *member) answerPing(p wirePing) (wirePing, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if err := m.hear(ctx, p); err != nil {
		return wirePing{}, err
	}
	answer, passed := m.message(value.InstanceID(p.From.Instance.ID))
	if err := m.Control.Do(ctx, passed); err != nil {
		return wirePing{}, fmt.Errorf("count news: %w", err)
	}
	return answer, nil
}

func (m *member) answerProbe(p wireProbe) (wireProbed, error) {
	err := m.ping(context.Background(), p.Target.value())
	return wireProbed{Reached: err == nil}, nil
}

func (m *member) answerRoll(wireRoll) (wirePing, error) {
	s := m.Control.Snapshot()
	var all []value.Instance
	for _, i := range s.Instances().All() {
		all = append(all, i)
	}
	return wirePing{From: encodeSelf(s.Self), News: encodeNews(all)}, nil
}
