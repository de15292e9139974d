package value

import "time"

// Bill is the single charge for one request.
type Bill struct {
	Request RequestID
	Account AccountName
	Kind    KindName
	Version VersionKey
	// InputTokens and OutputTokens are what the engine reported for the answer that the caller got.
	InputTokens  int
	OutputTokens int
	// CostMicros is the charge in micro-units of currency; it includes rejected answers of a cascade
	// and the judge's verdicts.
	CostMicros int64
	// Runs counts the attempts that the request took, including cascade steps, retries and hedges.
	Runs int
	At   time.Time
}

// WithCost returns a copy with another charge in micro-units of currency.
func (b Bill) WithCost(micros int64) Bill {
	b.CostMicros = micros
	return b
}
