package state

import "endivehitch/core/value"

// Effect is work that a command asks of the workers outside the control loop.
type Effect interface {
	effect()
}

// Decided asks for a log line about a control decision.
type Decided struct {
	// What names the decision, such as ServerLeft.
	What string
	// Subject identifies what the decision is about.
	Subject string
	Reason  value.Reason
	// Detail says more, in words.
	Detail string
}

// Announce asks that peers learn the configuration that is now in force.
type Announce struct {
	Config value.Accepted
}

// Behind asks that a newer configuration be fetched from the instance that has it.
type Behind struct {
	Revision int64
	Source   value.Instance
}

// Farewell asks that peers learn at once that the instance is leaving.
type Farewell struct{}

func (Decided) effect()  {}
func (Announce) effect() {}
func (Behind) effect()   {}
func (Farewell) effect() {}

// KeepProgress asks that a roll-out's position be kept in the key-value service.
//
// A worker that finds a position there which this one does not supersede keeps that one and hands
// it back as an InstallProgress command.
type KeepProgress struct {
	Progress value.Progress
}

// KeepWithdrawal asks that a version's withdrawal be kept in the key-value service and told to peers.
type KeepWithdrawal struct {
	Withdrawal value.Withdrawal
}

func (KeepProgress) effect()   {}
func (KeepWithdrawal) effect() {}
