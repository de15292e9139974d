package state

import "endivehitch/core/value"

// Effect is work that a command hands to workers outside the control loop.
type Effect interface {
	effect()
}

// RecordDecision logs and counts a control decision.
type RecordDecision struct {
	// Event is the log message of the decision, such as ServerGone.
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

// SendDepartureNotice sends peers at once that this instance is leaving.
type SendDepartureNotice struct{}

func (RecordDecision) effect()      {}
func (AnnounceConfig) effect()      {}
func (FetchConfig) effect()         {}
func (SendDepartureNotice) effect() {}

// StoreProgress stores a roll-out's position in the key-value service.
//
// The worker then sends an InstallProgress command with the position that is stored: this one, or the
// one that was stored before if this one does not supersede it.
type StoreProgress struct {
	Progress value.Progress
}

// StoreWithdrawal stores a version's withdrawal in the key-value service, from which the other
// instances read it.
//
// The worker then sends an InstallWithdrawal command with the withdrawal that is stored: this one, or the
// one that was stored before.
type StoreWithdrawal struct {
	Withdrawal value.Withdrawal
}

func (StoreProgress) effect()   {}
func (StoreWithdrawal) effect() {}
