package stage

import (
	"encoding/json"
	"fmt"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
)

type wireProgress struct {
	Name    value.RollOutName
	Version value.VersionKey
	Epoch   int64
	Phase   value.Phase
	Stage   int
	Since   time.Time
	Reason  string
}

type wireWithdrawal struct {
	Version value.VersionKey
	Reason  value.Reason
	At      time.Time
}

// shelf says how values of one type are kept.
type shelf[T any] struct {
	// prefix leads the keys of all values of the type.
	prefix string
	name   func(T) string
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)
	// supersedes reports whether the first value replaces the second.
	supersedes func(T, T) bool
	install    func(T) Command
}

func positions(root string) shelf[value.Progress] {
	return shelf[value.Progress]{
		prefix:     root,
		name:       func(p value.Progress) string { return string(p.Name) },
		encode:     func(p value.Progress) ([]byte, error) { return encode(wireProgress(p)) },
		decode:     decodeProgress,
		supersedes: value.Progress.Supersedes,
		install:    func(p value.Progress) Command { return cmds.InstallProgress{Progress: p} },
	}
}

func withdrawals(root string) shelf[value.Withdrawal] {
	return shelf[value.Withdrawal]{
		prefix: root + "withdrawn/",
		name:   func(w value.Withdrawal) string { return string(w.Version) },
		encode: func(w value.Withdrawal) ([]byte, error) { return encode(wireWithdrawal(w)) },
		decode: decodeWithdrawal,
		// The first withdrawal of a version stands.
		supersedes: func(value.Withdrawal, value.Withdrawal) bool { return false },
		install:    func(w value.Withdrawal) Command { return cmds.InstallWithdrawal{Withdrawal: w} },
	}
}

func decodeProgress(data []byte) (value.Progress, error) {
	w, err := decode[wireProgress](data)
	return value.Progress(w), err
}

func decodeWithdrawal(data []byte) (value.Withdrawal, error) {
	w, err := decode[wireWithdrawal](data)
	return value.Withdrawal(w), err
}

func encode[W any](w W) ([]byte, error) {
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

func decode[W any](data []byte) (W, error) {
	var w W
	if err := json.Unmarshal(data, &w); err != nil {
		return w, fmt.Errorf("decode record: %w", err)
	}
	return w, nil
}
