package conf

import (
	"context"
	"errors"
	"fmt"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// keepTries bounds how often a write is tried at once; a caller that fails comes back later.
const keepTries = 4

// KeepProgress keeps a roll-out's position unless what stands is newer, and returns what stands then.
//
// It may be repeated: a position that stands already is left alone.
func KeepProgress(ctx context.Context, store plat.Store, e value.Environment, p value.Progress) (value.Progress, error) {
	return keep(ctx, store, keeping[wireProgress]{
		key:  RollOutKey(e, p.Name),
		mine: wireProgress(p),
		newer: func(was wireProgress) bool {
			return p.Supersedes(value.Progress(was))
		},
	}, func(w wireProgress) value.Progress { return value.Progress(w) })
}

// KeepWithdrawal keeps a version's withdrawal, which is final, and returns the one that stands then.
func KeepWithdrawal(ctx context.Context, store plat.Store, e value.Environment, w value.Withdrawal) (value.Withdrawal, error) {
	return keep(ctx, store, keeping[wireWithdrawal]{
		key:   WithdrawalKey(e, w.Version),
		mine:  wireWithdrawal(w),
		newer: func(wireWithdrawal) bool { return false },
	}, func(w wireWithdrawal) value.Withdrawal { return value.Withdrawal(w) })
}

// keeping is a value to be kept under a key, and whether it takes the place of another one.
type keeping[W any] struct {
	key   string
	mine  W
	newer func(was W) bool
}

func keep[W, V any](ctx context.Context, store plat.Store, k keeping[W], from func(W) V) (V, error) {
	var none V
	data, err := encode(k.mine)
	if err != nil {
		return none, err
	}
	for range keepTries {
		entry, err := store.Get(ctx, k.key)
		if err != nil {
			return none, fmt.Errorf("read %s: %w", k.key, err)
		}
		if entry.Revision > 0 {
			was, err := decodeEntry[W](entry)
			if err != nil {
				return none, err
			}
			if !k.newer(was) {
				return from(was), nil
			}
		}
		_, err = store.Swap(ctx, plat.Swap{Key: k.key, Expect: entry.Revision, Value: data})
		if err == nil {
			return from(k.mine), nil
		}
		if !mayReadBack(err) {
			return none, fmt.Errorf("keep %s: %w", k.key, err)
		}
	}
	return none, fmt.Errorf("keep %s: no success in %d tries: %w", k.key, keepTries, plat.ErrUnavailable)
}

// mayReadBack reports whether reading what stands settles the write.
func mayReadBack(err error) bool {
	var conflict plat.Conflict
	return errors.As(err, &conflict) || errors.Is(err, plat.ErrUnknown)
}
