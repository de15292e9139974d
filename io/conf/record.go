package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// historyLength is the largest number of earlier changes that a record holds.
const historyLength = 32

// Record is a document's bytes with the changes that led to it, as stored in the key-value service.
type Record struct {
	Bytes   []byte
	Current value.CurrentRecord
}

// wireRecord is the record's format; its Trail is the change history. It holds the document's bytes
// unchanged, so that their digest stays valid.
type wireRecord struct {
	Change   wireChange
	Trail    []wireChange
	Document []byte
}

type wireChange struct {
	ID     string
	Who    string
	At     time.Time
	Expect int64
	Digest string
}

// WithChange returns the record that replaces this one: its document is the given bytes, and the
// replaced record's change, if there is one, becomes the first of its change history.
func (r Record) WithChange(data []byte, change value.Change) Record {
	history := r.Current.History
	if r.Current.Revision > 0 {
		history = append([]value.Change{r.Current.Change}, history...)
	}
	history = history[:min(len(history), historyLength)]
	return Record{Bytes: data, Current: value.CurrentRecord{Change: change, History: history}}
}

// Encode encodes the record for the key-value service.
func (r Record) Encode() ([]byte, error) {
	wire := wireRecord{
		Change:   toWireChange(r.Current.Change),
		Trail:    convert(r.Current.History, toWireChange),
		Document: r.Bytes,
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes an entry; a missing entry gives a record of revision zero.
//
// The error is a value.ChangeRefused if the digest of the document's bytes is not the one that the
// record's change states.
func DecodeRecord(e plat.Entry) (Record, error) {
	if e.Revision == 0 {
		return Record{}, nil
	}
	var wire wireRecord
	if err := json.Unmarshal(e.Value, &wire); err != nil {
		return Record{}, fmt.Errorf("decode record at %s: %w", e.Key, err)
	}
	if Digest(wire.Document) != wire.Change.Digest {
		return Record{}, value.ChangeRefused{Reason: value.ReasonDigestMismatch, Detail: "kept bytes at " + e.Key}
	}
	return Record{
		Bytes: wire.Document,
		Current: value.CurrentRecord{
			Revision: e.Revision,
			Change:   fromWireChange(wire.Change),
			History:  convert(wire.Trail, fromWireChange),
		},
	}, nil
}

// Accepted parses the record's document and returns it with its digest and revision.
func (r Record) Accepted() (value.AcceptedDocument, error) {
	d, err := Parse(r.Bytes)
	if err != nil {
		return value.AcceptedDocument{}, fmt.Errorf("parse kept document: %w", err)
	}
	return value.AcceptedDocument{Document: d, Digest: r.Current.Change.Digest, Revision: r.Current.Revision}, nil
}

// LoadRecord reads the environment's record from the key-value service.
func LoadRecord(ctx context.Context, store plat.Reader, e value.Environment) (Record, error) {
	entry, err := store.Get(ctx, DocumentKey(e))
	if err != nil {
		return Record{}, fmt.Errorf("read document of %s: %w", e, err)
	}
	return DecodeRecord(entry)
}

func toWireChange(c value.Change) wireChange {
	return wireChange{ID: string(c.ID), Who: c.Who, At: c.At, Expect: c.Expect, Digest: c.Digest}
}

func fromWireChange(w wireChange) value.Change {
	return value.Change{ID: value.ChangeID(w.ID), Who: w.Who, At: w.At, Expect: w.Expect, Digest: w.Digest}
}
