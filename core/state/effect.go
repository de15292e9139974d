package state

import "endivehitch/core/value"

// Effect is work that a command hands to workers outside the control loop.
type Effect interface {
	effect()
}

// RecordDecision logs and counts a control decision.
type RecordDecision struct {
	// Event names the decision, such as ServerGone.
	Event string
	// Subject identifies what the decision is about.
	Subject string
	Reason  value.Reason
	// Detail is additional text for the log.
	Detail string
}

// AnnounceConfig sends peers the configuration that is now in force.
type AnnounceConfig struct {
	Config value.AcceptedDocument
}

// FetchConfig fetches a newer configuration revision from the instance that has it.
type FetchConfig struct {
	Revision int64
	Source   value.Instance
}

// SendDepartureNotice sends peers the departure notice of this instance at once.
type SendDepartureNotice struct{}

func (RecordDecision) effect()      {}
func (AnnounceConfig) effect()      {}
func (FetchConfig) effect()         {}
func (SendDepartureNotice) effect() {}

// StoreProgress stores a roll-out's position in the key-value service.
//
// The worker then installs the stored position with an InstallProgress command. It is another one
// where the service already has a position that this one does not supersede.
type StoreProgress struct {
	Progress value.Progress
}

// StoreWithdrawal stores a version's withdrawal in the key-value service, from which the other
// instances learn it.
//
// The worker then installs the stored withdrawal with an InstallWithdrawal command.
type StoreWithdrawal struct {
	Withdrawal value.Withdrawal
}

func (StoreProgress) effect()   {}
func (StoreWithdrawal) effect() {}
