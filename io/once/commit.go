package once

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/ledger"
	"endivehitch/io/plat"
)

// commitTries bounds how often one group is decided anew after conflicts and lost answers.
const commitTries = 8

var errContended = errors.New("other writers kept coming first")

// commit decides on the group and writes the journal before anyone is told.
func (s *slot) commit(ctx context.Context, group []submission) {
	verdicts, err := s.decide(ctx, group)
	if err != nil || !s.guard.owns(s.number) {
		s.known = page{}
	}
	s.guard.count(func(u Usage) Usage { u.Operations += int64(len(group)); return u })
	answer(group, verdicts, err)
}

func (s *slot) decide(ctx context.Context, group []submission) ([]ledger.Verdict, error) {
	ops := make([]ledger.Op, len(group))
	for i, sub := range group {
		ops[i] = sub.op
	}
	written := false
	for range commitTries {
		p, err := s.page(ctx)
		if err != nil {
			return nil, unsureIf(written, err)
		}
		next, verdicts, changed := p.journal.Decide(ops, s.guard.config.Rule, s.guard.setting())
		if !changed && p.cached {
			s.known = page{}
			continue
		}
		if !changed {
			return verdicts, nil
		}
		err = s.write(ctx, next, p.revision)
		if err == nil {
			return verdicts, nil
		}
		written = written || errors.Is(err, plat.ErrUnknown)
		if !s.mayDecideAnew(err) {
			return nil, unsureIf(written, err)
		}
		if err := s.guard.limiter.Wait(ctx); err != nil {
			return nil, unsureIf(written, fmt.Errorf("await write budget: %w", err))
		}
	}
	return nil, unsureIf(written, errContended)
}

func (g *Guard) setting() ledger.DecisionInputs {
	return ledger.DecisionInputs{Now: g.config.Now(), HasDeparted: g.config.Gone}
}

// page returns the journal as last written by this worker, or as the store has it. After a conflict
// the store is asked again, since the wait for the write budget has aged what the conflict showed; an
// answer older than that is a stale one.
func (s *slot) page(ctx context.Context) (page, error) {
	if s.known.valid && s.known.cached {
		return s.known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.guard.config.StoreTimeout)
	defer cancel()
	e, err := s.guard.config.Store.Get(ctx, s.key())
	if err != nil {
		return page{}, fmt.Errorf("read journal: %w", err)
	}
	if s.known.valid && e.Revision <= s.known.revision {
		return s.known, nil
	}
	return pageOf(e)
}

func pageOf(e plat.Entry) (page, error) {
	j, err := decodeJournal(e.Value)
	if err != nil {
		return page{}, fmt.Errorf("journal %s at revision %d: %w", e.Key, e.Revision, err)
	}
	return page{journal: j, revision: e.Revision, valid: true}, nil
}

func (s *slot) write(ctx context.Context, j ledger.Journal, expect int64) error {
	body, err := encodeJournal(j)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.guard.config.StoreTimeout)
	defer cancel()
	s.guard.count(func(u Usage) Usage { u.Commits++; return u })
	revision, err := s.guard.config.Store.Swap(ctx, plat.Swap{Key: s.key(), Expect: expect, Value: body})
	if err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	s.known = page{journal: j, revision: revision, cached: true, valid: true}
	return nil
}

// mayDecideAnew prepares the next decision after a write that failed or may have failed: operations
// are idempotent by token, so deciding them on a journal that already holds them changes nothing.
func (s *slot) mayDecideAnew(err error) bool {
	s.known = page{}
	var conflict plat.Conflict
	if errors.As(err, &conflict) {
		s.guard.count(func(u Usage) Usage { u.Conflicts++; return u })
		if p, decodeErr := pageOf(conflict.Present); decodeErr == nil {
			s.known = p
		}
		return true
	}
	return errors.Is(err, plat.ErrUnknown)
}

func (s *slot) key() string {
	return fmt.Sprintf("once/%05d", s.number)
}
