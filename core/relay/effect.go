package relay

// Effect is work that a command leaves to the workers outside the control loop.
type Effect interface {
	effect()
}

// RecordDecision asks for a log line about a change of the control state.
type RecordDecision struct {
	// Event names the decision, such as ServerReady.
	Event string
	// Subject identifies the record that the decision is about, or is empty.
	Subject string
	// Revision is the store revision that led to the decision.
	Revision int64
	Detail   string
}

func (RecordDecision) effect() {}
