package value

// Document is the configuration that an operator applies to an environment; the trial and the
// production environment use the same bytes.
type Document struct {
	Name           string
	ClientAccounts []ClientAccount
	Models         []Model
	Kinds          []Kind
	Pools          []Pool
	Services       []Service
	RollOuts       []RollOut
	Limits         Limits
}

// Limits bounds what one instance accepts.
type Limits struct {
	// QueueLength bounds the requests that wait for capacity at one instance.
	QueueLength int
	// RetryPercent bounds retries, in percent of first attempts.
	RetryPercent int
	// HedgePercent bounds hedged attempts, in percent of first attempts.
	HedgePercent int
	// BodyBytes bounds the size of a request's body.
	BodyBytes int64
}

// AcceptedDocument is a validated document with the revision at which the key-value service stores it.
type AcceptedDocument struct {
	Document Document
	// Digest identifies the document's bytes, as a hexadecimal SHA-256 sum.
	Digest string
	// Revision orders accepted documents; zero means that none is in force.
	Revision int64
}

// WithDocument returns a copy that holds another document at another revision.
func (a AcceptedDocument) WithDocument(d Document, digest string, revision int64) AcceptedDocument {
	return AcceptedDocument{Document: d, Digest: digest, Revision: revision}
}
