package once

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/ledger"
	"endivehitch/io/plat"
)

// maxCommitAttempts bounds how often one group is decided, counting the retries after conflicts and
// lost responses.
const maxCommitAttempts = 8

var errContended = errors.New("other writers kept coming first")

// commit decides the group, writes the journal if it changes, and only then delivers the verdicts.
// It forgets the last journal after an error, and if another instance owns the slot, since that one
// writes the journal as well.
func (s *slot) commit(ctx context.Context, group []submission) {
	verdicts, err := s.decide(ctx, group)
	if err != nil || !s.guard.decidesLocally(s.number) {
		s.last = snapshot{}
	}
	s.guard.updateStats(func(stats Stats) Stats { stats.Operations += int64(len(group)); return stats })
	deliver(group, verdicts, err)
}

// decide returns the verdicts on the group once the journal with their changes has been written.
// Verdicts that change nothing need no write, but must be based on a journal from the store: the
// one that this worker wrote last may have been replaced there.
func (s *slot) decide(ctx context.Context, group []submission) ([]ledger.Verdict, error) {
	ops := make([]ledger.Op, len(group))
	for i, sub := range group {
		ops[i] = sub.op
	}
	mayBeWritten := false
	for range maxCommitAttempts {
		current, err := s.load(ctx)
		if err != nil {
			return nil, uncertainIf(mayBeWritten, err)
		}
		next, verdicts, changed := current.journal.Decide(ops, s.guard.config.Rule, s.guard.decisionInputs())
		if !changed && current.fromWrite {
			s.last = snapshot{}
			continue
		}
		if !changed {
			return verdicts, nil
		}
		err = s.write(ctx, next, current.revision)
		if err == nil {
			return verdicts, nil
		}
		mayBeWritten = mayBeWritten || errors.Is(err, plat.ErrUnknown)
		if !s.prepareRetry(err) {
			return nil, uncertainIf(mayBeWritten, err)
		}
		if err := s.guard.limiter.Wait(ctx); err != nil {
			return nil, uncertainIf(mayBeWritten, fmt.Errorf("await write budget: %w", err))
		}
	}
	return nil, uncertainIf(mayBeWritten, errContended)
}

// decisionInputs returns what decisions depend on besides the journal.
func (g *Guard) decisionInputs() ledger.DecisionInputs {
	return ledger.DecisionInputs{Now: g.config.Now(), HasDeparted: g.config.HasDeparted}
}

// load returns the journal as this worker last wrote it, or else as the store has it. After a
// conflict the store is read although the conflict included the current journal, because that may
// have changed during the wait for the write rate. If the read gives no later revision, the
// conflict's journal is used, since a read may be stale.
func (s *slot) load(ctx context.Context) (snapshot, error) {
	if s.last.valid && s.last.fromWrite {
		return s.last, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.guard.config.StoreTimeout)
	defer cancel()
	entry, err := s.guard.config.Store.Get(ctx, s.key())
	if err != nil {
		return snapshot{}, fmt.Errorf("read journal: %w", err)
	}
	if s.last.valid && entry.Revision <= s.last.revision {
		return s.last, nil
	}
	return decodeEntry(entry)
}

// decodeEntry decodes the journal in an entry of the store.
func decodeEntry(e plat.Entry) (snapshot, error) {
	j, err := decodeJournal(e.Value)
	if err != nil {
		return snapshot{}, fmt.Errorf("journal %s at revision %d: %w", e.Key, e.Revision, err)
	}
	return snapshot{journal: j, revision: e.Revision, valid: true}, nil
}

// write stores the journal by compare-and-swap on the expected revision.
func (s *slot) write(ctx context.Context, j ledger.Journal, expect int64) error {
	body, err := encodeJournal(j)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.guard.config.StoreTimeout)
	defer cancel()
	s.guard.updateStats(func(stats Stats) Stats { stats.Commits++; return stats })
	revision, err := s.guard.config.Store.Swap(ctx, plat.Swap{Key: s.key(), Expect: expect, Value: body})
	if err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	s.last = snapshot{journal: j, revision: revision, fromWrite: true, valid: true}
	return nil
}

// prepareRetry reports whether the group may be decided again after a failed write, and remembers
// the journal that a conflict included. A write that may have taken effect can be retried:
// operations are idempotent by their token, so a journal that already holds them does not change.
func (s *slot) prepareRetry(err error) bool {
	s.last = snapshot{}
	var conflict plat.Conflict
	if errors.As(err, &conflict) {
		s.guard.updateStats(func(stats Stats) Stats { stats.Conflicts++; return stats })
		if current, decodeErr := decodeEntry(conflict.Current); decodeErr == nil {
			s.last = current
		}
		return true
	}
	return errors.Is(err, plat.ErrUnknown)
}

func (s *slot) key() string {
	return fmt.Sprintf("once/%05d", s.number)
}
