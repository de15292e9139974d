package relay

// Effect is work that a command asks of the workers outside the control loop.
type Effect interface {
	effect()
}

// Decided asks for a log line about a change of what the instance believes.
type Decided struct {
	// What names the decision, such as ServerLeft.
	What string
	// Subject identifies what the decision is about.
	Subject string
	// Revision is the store's revision that decided it.
	Revision int64
	Detail   string
}

func (Decided) effect() {}
