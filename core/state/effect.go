package state

import "endivehitch/core/value"

// Effect is work that a command hands to workers outside the control loop.
type Effect interface {
	effect()
}

// Decided logs and counts a control decision.
type Decided struct {
	// What names the decision, such as ServerGone.
	What string
	// Subject identifies what the decision is about.
	Subject string
	Reason  value.Reason
	// Detail is additional text for the log.
	Detail string
}

// Announce sends peers the configuration that is now in force.
type Announce struct {
	Config value.Accepted
}

// Behind fetches a newer configuration revision from the instance that has it.
type Behind struct {
	Revision int64
	Source   value.Instance
}

// Farewell sends peers the departure notice of this instance at once.
type Farewell struct{}

func (Decided) effect()  {}
func (Announce) effect() {}
func (Behind) effect()   {}
func (Farewell) effect() {}

// KeepProgress stores a roll-out's position in the key-value service.
//
// The worker then installs the stored position with an InstallProgress command. It is another one
// where the service already has a position that this one does not supersede.
type KeepProgress struct {
	Progress value.Progress
}

// KeepWithdrawal stores a version's withdrawal in the key-value service, from which the other
// instances learn it.
//
// The worker then installs the stored withdrawal with an InstallWithdrawal command.
type KeepWithdrawal struct {
	Withdrawal value.Withdrawal
}

func (KeepProgress) effect()   {}
func (KeepWithdrawal) effect() {}
