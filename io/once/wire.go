package once

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

// journalFormat is the version of the stored format; a journal of any other version is an error.
const journalFormat = 1

// wireJournal is the stored form of a journal.
type wireJournal struct {
	Format  int
	Records []wireRecord
}

// wireRecord is a record in a stored journal or an RPC reply.
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

// wireAnswer is an answer in a stored record or an RPC message.
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
	// The ledger's size bound assumes that <, > and & are not escaped.
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

// decodeJournal decodes a stored journal; an absent or empty value is an empty journal.
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
