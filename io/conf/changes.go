package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// Changes is the decoded content of entries of an environment's configuration.
type Changes struct {
	// Accepted is the document; its revision is zero if none of the entries holds a valid one.
	Accepted    value.AcceptedDocument
	RollOuts    []value.Progress
	Withdrawals []value.Withdrawal
}

// Decode decodes entries under the environment's prefix, which must be in the order of their
// revisions.
//
// An entry that can't be decoded is skipped and listed in the error; the other entries are
// returned.
func Decode(e value.Environment, entries ...plat.Entry) (Changes, error) {
	var changes Changes
	var errs []error
	for _, entry := range entries {
		next, err := changes.withEntry(e, entry)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s at revision %d: %w", entry.Key, entry.Revision, err))
			continue
		}
		changes = next
	}
	return changes, errors.Join(errs...)
}

func (c Changes) withEntry(e value.Environment, entry plat.Entry) (Changes, error) {
	switch {
	case entry.Key == DocumentKey(e):
		record, err := DecodeRecord(entry)
		if err != nil {
			return c, err
		}
		c.Accepted, err = record.Accepted()
		return c, err
	case strings.HasPrefix(entry.Key, RollOutKey(e, "")):
		p, err := decodeEntry[wireProgress](entry)
		c.RollOuts = append(c.RollOuts, value.Progress(p))
		return c, err
	case strings.HasPrefix(entry.Key, WithdrawalKey(e, "")):
		w, err := decodeEntry[wireWithdrawal](entry)
		c.Withdrawals = append(c.Withdrawals, value.Withdrawal(w))
		return c, err
	}
	return c, nil
}

// wireProgress is the format of a roll-out's progress in the key-value service.
type wireProgress struct {
	Name    value.RollOutName
	Version value.VersionKey
	Epoch   int64
	Phase   value.Phase
	Stage   int
	Since   time.Time
	Reason  string
}

// wireWithdrawal is the format of a version's withdrawal in the key-value service.
type wireWithdrawal struct {
	Version value.VersionKey
	Reason  value.Reason
	At      time.Time
}

// EncodeProgress encodes a roll-out's progress for the key-value service.
func EncodeProgress(p value.Progress) ([]byte, error) {
	return encode(wireProgress(p))
}

// DecodeProgress decodes an entry that holds a roll-out's progress.
func DecodeProgress(e plat.Entry) (value.Progress, error) {
	w, err := decodeEntry[wireProgress](e)
	return value.Progress(w), err
}

func encode[W any](w W) ([]byte, error) {
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	return data, nil
}

func decodeEntry[W any](e plat.Entry) (W, error) {
	var w W
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return w, fmt.Errorf("decode entry: %w", err)
	}
	return w, nil
}
