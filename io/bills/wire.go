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

// storePrefix is the prefix of the keys of all segments in the store.
const storePrefix = "bills/"

// segmentFormat is the version of the stored format; a reader refuses any other version.
const segmentFormat = 1

// wireSegment is the stored form of a ledger.Segment.
type wireSegment struct {
	Format int
	Owner  value.ChainID
	First  int64
	Bills  []wireBill
}

// wireBill is the stored form of a value.Bill.
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

func ownerPrefix(owner value.ChainID) string {
	return storePrefix + url.PathEscape(string(owner)) + "/"
}

// segmentKey returns the key of a segment. The number has a fixed width, so that the keys of an
// owner sort by the segments' first sequence numbers.
func segmentKey(owner value.ChainID, first int64) string {
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
