package cmds

import (
	"context"
	"fmt"
	"net/http"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
	"endivehitch/io/conf"
)

// PromoteOrder asks to copy the document in force in one environment, byte for byte, to another.
type PromoteOrder struct {
	From value.Environment
	To   value.Environment
	// Change identifies the change: orders with the same identifier take effect only once.
	Change value.ChangeID
	// Expect is the target's revision that the document replaces; zero if the target has none yet.
	Expect int64
	// Digest is the digest of the document to copy; if it is empty, the one in force is copied.
	Digest string
}

type wirePromote struct {
	From   string
	To     string
	Change string
	Expect int64
	Digest string
}

const promotePath = "/admin/promote"

// Promote copies the bytes of the document in force in one environment to another, or refuses if
// that document doesn't have the given digest.
//
// The error is value.ChangeConflict, value.ChangeRefused, value.ChangeUnavailable or
// value.ChangeUnknown.
func Promote(ctx context.Context, c Config, operator string, o PromoteOrder) (value.AppliedChange, error) {
	from, err := conf.LoadRecord(ctx, c.Store, o.From)
	if err != nil {
		return value.AppliedChange{}, toReadError(err)
	}
	to, err := conf.LoadRecord(ctx, c.Store, o.To)
	if err != nil {
		return value.AppliedChange{}, toReadError(err)
	}
	change := value.Change{ID: o.Change, Who: operator, At: c.Now(), Expect: o.Expect}
	// If this is a retry of an order that took effect, its outcome is returned. Checked like a new
	// order it would be refused, since the document is already in force.
	w := &writer{request: writeRequest{change: change}}
	switch query.OutcomeOf(to.Current, change) {
	case query.OutcomeApplied, query.OutcomeSuperseded:
		r := w.settle(to.Current)
		return r.applied, r.err
	}
	digest, err := query.Promote(from.Current, to.Current, o.Digest)
	if err != nil {
		return value.AppliedChange{}, fmt.Errorf("promote from %s to %s: %w", o.From, o.To, err)
	}
	return write(ctx, c.Store, writeRequest{environment: o.To, change: change.WithDigest(digest), data: from.Bytes})
}

// toReadError returns a refusal as it is and any other error of a read as value.ChangeUnavailable.
func toReadError(err error) error {
	if r := toRefusal(err); r != nil {
		return r.err
	}
	return value.ChangeUnavailable{Detail: err.Error()}
}

// PromoteRoute returns the route that serves Promote.
func PromoteRoute(c Config) route.Route {
	return route.New(http.MethodPost, promotePath, func(ctx context.Context, w wirePromote) (wireApplied, error) {
		o := PromoteOrder{
			From:   value.Environment(w.From),
			To:     value.Environment(w.To),
			Change: value.ChangeID(w.Change),
			Expect: w.Expect,
			Digest: w.Digest,
		}
		if err := checkOrder(o.To, o.Change); err != nil {
			return wireApplied{}, err
		}
		applied, err := Promote(ctx, c, route.Operator(ctx), o)
		return toWireApplied(applied), err
	})
}

// SendPromote sends the order to an instance.
func SendPromote(ctx context.Context, to route.Client, o PromoteOrder) (value.AppliedChange, error) {
	w := wirePromote{From: string(o.From), To: string(o.To), Change: string(o.Change), Expect: o.Expect, Digest: o.Digest}
	applied, err := route.Call[wirePromote, wireApplied](ctx, to, http.MethodPost, promotePath, w)
	return applied.value(), route.UnknownIfUnanswered(err, o.Change)
}
