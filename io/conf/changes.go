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

// Changes is what entries of an environment's configuration say.
type Changes struct {
	// Accepted is the document; its revision is zero where the entries hold none.
	Accepted    value.AcceptedDocument
	RollOuts    []value.Progress
	Withdrawals []value.Withdrawal
}

// Decode reads entries under the environment's prefix, in the order of their revisions.
//
// An entry that can't be read is left out and named in the error; the rest stands.
func Decode(e value.Environment, entries ...plat.Entry) (Changes, error) {
	var c Changes
	var failed []error
	for _, entry := range entries {
		next, err := c.with(e, entry)
		if err != nil {
			failed = append(failed, fmt.Errorf("%s at revision %d: %w", entry.Key, entry.Revision, err))
			continue
		}
		c = next
	}
	return c, errors.Join(failed...)
}

func (c Changes) with(e value.Environment, entry plat.Entry) (Changes, error) {
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

// wireProgress is a roll-out's position as kept in the key-value service.
type wireProgress struct {
	Name    value.RollOutName
	Version value.VersionKey
	Epoch   int64
	Phase   value.Phase
	Stage   int
	Since   time.Time
	Reason  string
}

// wireWithdrawal is a version's withdrawal as kept in the key-value service.
type wireWithdrawal struct {
	Version value.VersionKey
	Reason  value.Reason
	At      time.Time
}

// EncodeProgress returns a roll-out's position as it is kept.
func EncodeProgress(p value.Progress) ([]byte, error) {
	return encode(wireProgress(p))
}

// DecodeProgress reads an entry that keeps a roll-out's position.
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
