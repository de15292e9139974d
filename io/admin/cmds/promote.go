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

// PromoteOrder asks to move the document accepted in one environment to another, byte for byte.
type PromoteOrder struct {
	From value.Environment
	To   value.Environment
	// Change identifies the order; a repeated one takes effect once.
	Change value.ChangeID
	// Expect is the revision of the target that the operator has seen; zero means none.
	Expect int64
	// Digest names the document; empty asks for the one that stands.
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

// Promote moves the very bytes that were accepted, or refuses.
//
// The error is value.ChangeConflict, value.ChangeRefused, value.ChangeUnavailable or value.ChangeUnknown.
func Promote(ctx context.Context, c Config, who string, o PromoteOrder) (value.AppliedChange, error) {
	from, err := conf.Load(ctx, c.Store, o.From)
	if err != nil {
		return value.AppliedChange{}, unread(err)
	}
	to, err := conf.Load(ctx, c.Store, o.To)
	if err != nil {
		return value.AppliedChange{}, unread(err)
	}
	change := value.Change{ID: o.Change, Who: who, At: c.Now(), Expect: o.Expect}
	// A repeated order whose first sending took effect is settled before it is judged anew.
	w := &writer{order: order{change: change}}
	switch query.OutcomeOf(to.Standing, change) {
	case query.OutcomeApplied, query.OutcomeOvertaken:
		r := w.settle(to.Standing)
		return r.applied, r.err
	}
	digest, err := query.Promote(from.Standing, to.Standing, o.Digest)
	if err != nil {
		return value.AppliedChange{}, fmt.Errorf("promote from %s to %s: %w", o.From, o.To, err)
	}
	return write(ctx, c.Store, order{environment: o.To, change: change.WithDigest(digest), data: from.Bytes})
}

// unread keeps a refusal and turns any other failure to read into an unavailable service.
func unread(err error) error {
	if r := fatal(err); r != nil {
		return r.err
	}
	return value.ChangeUnavailable{Detail: err.Error()}
}

// PromoteRoute serves orders to promote.
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
		return toWire(applied), err
	})
}

// SendPromote sends the order to an instance.
func SendPromote(ctx context.Context, to route.Client, o PromoteOrder) (value.AppliedChange, error) {
	w := wirePromote{From: string(o.From), To: string(o.To), Change: string(o.Change), Expect: o.Expect, Digest: o.Digest}
	applied, err := route.Call[wirePromote, wireApplied](ctx, to, http.MethodPost, promotePath, w)
	return applied.value(), route.Lost(err, o.Change)
}
