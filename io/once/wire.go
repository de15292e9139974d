package once

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

// journalFormat is the stored form's number; a reader refuses one that it does not know.
const journalFormat = 1

type wireJournal struct {
	Format  int
	Records []wireRecord
}

type wireRecord struct {
	ID       ledger.CallID
	Kind     value.KindName `json:",omitempty"`
	Question uint64         `json:",omitempty"`
	Token    string
	Holder   value.InstanceID
	State    ledger.RunState
	Since    time.Time
	Until    time.Time
	Answer   *wireAnswer `json:",omitempty"`
}

type wireAnswer struct {
	Status      int
	ContentType string
	Body        []byte `json:",omitempty"`
	Digest      string
	Bytes       int
}

func encodeJournal(j ledger.Journal) ([]byte, error) {
	w := wireJournal{Format: journalFormat}
	for _, r := range j.Records() {
		w.Records = append(w.Records, encodeRecord(r))
	}
	var body bytes.Buffer
	e := json.NewEncoder(&body)
	// The bound on a journal's bytes counts on characters that are not spelt out.
	e.SetEscapeHTML(false)
	if err := e.Encode(w); err != nil {
		return nil, fmt.Errorf("encode journal: %w", err)
	}
	return body.Bytes(), nil
}

func encodeRecord(r ledger.Record) wireRecord {
	w := wireRecord{
		ID:       r.ID,
		Kind:     r.Kind,
		Question: r.RequestHash,
		Token:    r.Token,
		Holder:   r.Holder,
		State:    r.State,
		Since:    r.Since,
		Until:    r.Until,
	}
	if r.State == ledger.RunFinished {
		a := wireAnswer(r.Answer)
		w.Answer = &a
	}
	return w
}

// decodeJournal reads a stored journal; no bytes are an empty one.
func decodeJournal(body []byte) (ledger.Journal, error) {
	if len(body) == 0 {
		return ledger.Journal{}, nil
	}
	var w wireJournal
	if err := json.Unmarshal(body, &w); err != nil {
		return ledger.Journal{}, fmt.Errorf("decode journal: %w", err)
	}
	if w.Format != journalFormat {
		return ledger.Journal{}, fmt.Errorf("decode journal: format %d is unknown", w.Format)
	}
	records := make([]ledger.Record, len(w.Records))
	for i, r := range w.Records {
		records[i] = decodeRecord(r)
	}
	return ledger.NewJournal(records), nil
}

func decodeRecord(w wireRecord) ledger.Record {
	r := ledger.Record{
		ID:          w.ID,
		Kind:        w.Kind,
		RequestHash: w.Question,
		Token:       w.Token,
		Holder:      w.Holder,
		State:       w.State,
		Since:       w.Since,
		Until:       w.Until,
	}
	if w.Answer != nil {
		r.Answer = ledger.Answer(*w.Answer)
	}
	return r
}
