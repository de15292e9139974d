package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// trailLength is how many earlier changes a record remembers.
const trailLength = 32

// Record is a document's bytes with where they come from, as kept in the key-value service.
type Record struct {
	Bytes    []byte
	Standing value.CurrentRecord
}

// wireRecord is the record's format; the bytes are kept as they are, so that the digest stays.
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

// WithChange returns the record that follows when the change puts the bytes in its place.
func (r Record) WithChange(data []byte, c value.Change) Record {
	trail := r.Standing.History
	if r.Standing.Revision > 0 {
		trail = append([]value.Change{r.Standing.Change}, trail...)
	}
	trail = trail[:min(len(trail), trailLength)]
	return Record{Bytes: data, Standing: value.CurrentRecord{Change: c, History: trail}}
}

// Encode returns the record as it is kept.
func (r Record) Encode() ([]byte, error) {
	w := wireRecord{
		Change:   toWire(r.Standing.Change),
		Trail:    convert(r.Standing.History, toWire),
		Document: r.Bytes,
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// DecodeRecord reads an entry; one that is not there gives a record of revision zero.
//
// The error is a value.ChangeRefused where the bytes don't have the digest that was accepted.
func DecodeRecord(e plat.Entry) (Record, error) {
	if e.Revision == 0 {
		return Record{}, nil
	}
	var w wireRecord
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return Record{}, fmt.Errorf("decode record at %s: %w", e.Key, err)
	}
	if Digest(w.Document) != w.Change.Digest {
		return Record{}, value.ChangeRefused{Reason: value.ReasonDigestMismatch, Detail: "kept bytes at " + e.Key}
	}
	return Record{
		Bytes: w.Document,
		Standing: value.CurrentRecord{
			Revision: e.Revision,
			Change:   fromWire(w.Change),
			History:  convert(w.Trail, fromWire),
		},
	}, nil
}

// Accepted returns the record's document at its revision.
func (r Record) Accepted() (value.AcceptedDocument, error) {
	d, err := Parse(r.Bytes)
	if err != nil {
		return value.AcceptedDocument{}, fmt.Errorf("parse kept document: %w", err)
	}
	return value.AcceptedDocument{Document: d, Digest: r.Standing.Change.Digest, Revision: r.Standing.Revision}, nil
}

// Load reads the environment's record from the key-value service.
func Load(ctx context.Context, from plat.Reader, e value.Environment) (Record, error) {
	entry, err := from.Get(ctx, DocumentKey(e))
	if err != nil {
		return Record{}, fmt.Errorf("read document of %s: %w", e, err)
	}
	return DecodeRecord(entry)
}

func toWire(c value.Change) wireChange {
	return wireChange{ID: string(c.ID), Who: c.Who, At: c.At, Expect: c.Expect, Digest: c.Digest}
}

func fromWire(w wireChange) value.Change {
	return value.Change{ID: value.ChangeID(w.ID), Who: w.Who, At: w.At, Expect: w.Expect, Digest: w.Digest}
}
