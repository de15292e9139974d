package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Admitted holds the client account and the kind of an admitted request, for the later steps.
type Admitted struct {
	Account value.ClientAccount
	Kind    value.Kind
}

// Admit checks whether the request may be served; the error is a value.Refusal with NotRun set.
func Admit(s state.State, r value.Request, now time.Time) (Admitted, error) {
	if s.Leaving {
		return Admitted{}, refuse(value.ReasonLeaving, "instance is shutting down")
	}
	if s.Config.Revision == 0 {
		return Admitted{}, refuse(value.ReasonNoConfiguration, "no document is in force yet")
	}
	account, ok := s.Account(r.Account)
	if !ok {
		return Admitted{}, refuse(value.ReasonUnknownAccount, "no client account "+string(r.Account))
	}
	kind, ok := s.Kind(r.Kind)
	if !ok || !account.MaySend(r.Kind) {
		return Admitted{}, refuse(value.ReasonKindNotAllowed, "client account may not send kind "+string(r.Kind))
	}
	if !kind.Idempotent && r.Key == "" {
		return Admitted{}, refuse(value.ReasonKeyRequired, "kind is not idempotent and needs an Idempotency-Key")
	}
	if !r.Deadline.After(now) {
		return Admitted{}, refuse(value.ReasonDeadline, "deadline has passed")
	}
	return Admitted{Account: account, Kind: kind}, nil
}

// CheckInFlightLimit checks the client account's limit on concurrent requests at one instance; the
// error is a value.Refusal with NotRun set.
func CheckInFlightLimit(a value.ClientAccount, inFlight int) error {
	if a.MaxInFlight > 0 && inFlight >= a.MaxInFlight {
		return refuseWithRetryAfter(value.ReasonOverloaded, "client account has its most concurrent requests", 0)
	}
	return nil
}

func refuse(reason value.Reason, detail string) value.Refusal {
	return value.Refusal{Reason: reason, NotRun: true, Detail: detail}
}
