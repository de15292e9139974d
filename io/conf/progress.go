package conf

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// maxStoreAttempts bounds the attempts of one call to store a value; the caller of a failed call
// retries later.
const maxStoreAttempts = 4

// StoreProgress stores a roll-out's progress if it supersedes the current record, and returns the
// record that is current afterwards.
//
// It is idempotent: a record that is already current stays in place.
func StoreProgress(ctx context.Context, store plat.Store, e value.Environment, p value.Progress) (value.Progress, error) {
	return storeUnlessNewer(ctx, store, storeRequest[wireProgress]{
		key:   RollOutKey(e, p.Name),
		value: wireProgress(p),
		replaces: func(stored wireProgress) bool {
			return p.Supersedes(value.Progress(stored))
		},
	}, func(w wireProgress) value.Progress { return value.Progress(w) })
}

// StoreWithdrawal stores a version's withdrawal unless one is stored already, since a withdrawal is
// final, and returns the one that is current afterwards.
func StoreWithdrawal(ctx context.Context, store plat.Store, e value.Environment, w value.Withdrawal) (value.Withdrawal, error) {
	return storeUnlessNewer(ctx, store, storeRequest[wireWithdrawal]{
		key:      WithdrawalKey(e, w.Version),
		value:    wireWithdrawal(w),
		replaces: func(wireWithdrawal) bool { return false },
	}, func(w wireWithdrawal) value.Withdrawal { return value.Withdrawal(w) })
}

// storeRequest is a value to be stored under a key.
type storeRequest[W any] struct {
	key   string
	value W
	// replaces reports whether the value replaces the given current one.
	replaces func(current W) bool
}

// storeUnlessNewer stores the request's value by compare-and-swap if there is none or if it replaces
// the current one, and returns the value that is current afterwards.
func storeUnlessNewer[W, V any](ctx context.Context, store plat.Store, request storeRequest[W], toValue func(W) V) (V, error) {
	var none V
	data, err := encode(request.value)
	if err != nil {
		return none, err
	}
	for range maxStoreAttempts {
		entry, err := store.Get(ctx, request.key)
		if err != nil {
			return none, fmt.Errorf("read %s: %w", request.key, err)
		}
		if entry.Revision > 0 {
			stored, err := decodeEntry[W](entry)
			if err != nil {
				return none, err
			}
			if !request.replaces(stored) {
				return toValue(stored), nil
			}
		}
		_, err = store.Swap(ctx, plat.Swap{Key: request.key, Expect: entry.Revision, Value: data})
		if err == nil {
			return toValue(request.value), nil
		}
		if !canReadBack(err) {
			return none, fmt.Errorf("store %s: %w", request.key, err)
		}
	}
	return none, fmt.Errorf("store %s: no attempt of %d succeeded: %w", request.key, maxStoreAttempts, plat.ErrUnavailable)
}

// canReadBack reports whether the write failed by a conflict or a lost answer. In both cases the next
// attempt reads the current entry, which shows the outcome.
func canReadBack(err error) bool {
	var conflict plat.Conflict
	return errors.As(err, &conflict) || errors.Is(err, plat.ErrUnknown)
}
