package bills

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// prefix is where the store keeps bills: one chain of segments for each owner.
const prefix = "bills/"

// segmentFormat is the stored form's number; a reader refuses one that it does not know.
const segmentFormat = 1

type wireSegment struct {
	Format int
	Owner  value.InstanceID
	First  int64
	Bills  []wireBill
}

type wireBill struct {
	Request      value.RequestID
	Account      value.AccountName
	Kind         value.KindName
	Version      value.VersionKey `json:",omitempty"`
	InputTokens  int              `json:",omitempty"`
	OutputTokens int              `json:",omitempty"`
	CostMicros   int64
	Runs         int
	At           time.Time
}

func ownerPrefix(owner value.InstanceID) string {
	return prefix + url.PathEscape(string(owner)) + "/"
}

// segmentKey sorts the segments of an owner by their first sequence number.
func segmentKey(owner value.InstanceID, first int64) string {
	return fmt.Sprintf("%s%016d", ownerPrefix(owner), first)
}

func encodeSegment(s ledger.Segment) ([]byte, error) {
	w := wireSegment{Format: segmentFormat, Owner: s.Owner, First: s.First()}
	for _, e := range s.Entries {
		w.Bills = append(w.Bills, wireBill(e.Bill))
	}
	body, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode segment: %w", err)
	}
	return body, nil
}

func decodeSegment(e plat.Entry) (ledger.Segment, error) {
	var w wireSegment
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return ledger.Segment{}, fmt.Errorf("decode segment %s: %w", e.Key, err)
	}
	if w.Format != segmentFormat || len(w.Bills) == 0 {
		return ledger.Segment{}, fmt.Errorf("decode segment %s: format %d with %d bills", e.Key, w.Format, len(w.Bills))
	}
	s := ledger.Segment{Owner: w.Owner}
	for i, b := range w.Bills {
		s.Entries = append(s.Entries, ledger.Entry{Sequence: w.First + int64(i), Bill: value.Bill(b)})
	}
	return s, nil
}
