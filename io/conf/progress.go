package conf

import (
	"encoding/json"
	"fmt"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

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

// EncodeProgress returns a roll-out's position as it is kept.
func EncodeProgress(p value.Progress) ([]byte, error) {
	data, err := json.Marshal(wireProgress(p))
	if err != nil {
		return nil, fmt.Errorf("encode progress of %s: %w", p.Name, err)
	}
	return data, nil
}

// DecodeProgress reads an entry that keeps a roll-out's position.
func DecodeProgress(e plat.Entry) (value.Progress, error) {
	var w wireProgress
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return value.Progress{}, fmt.Errorf("decode progress at %s: %w", e.Key, err)
	}
	return value.Progress(w), nil
}
