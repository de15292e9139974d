package cmds

import (
	"context"
	"fmt"
	"net/http"

	"endivehitch/core/value"
	"endivehitch/io/admin/route"
	"endivehitch/io/conf"
)

// ApplyOrder asks to put a document in force in an environment.
type ApplyOrder struct {
	Environment value.Environment
	// Change identifies the change: orders with the same identifier take effect only once.
	Change value.ChangeID
	// Expect is the revision that the document replaces; zero if the environment has none yet.
	Expect   int64
	Document []byte
}

// wireApply is the request's body; JSON encodes the document's bytes as base64.
type wireApply struct {
	Environment string
	Change      string
	Expect      int64
	Document    []byte
}

const applyPath = "/admin/apply"

// Apply validates the document and replaces the expected revision by it.
//
// The error is conf.Faults, value.ChangeConflict, value.ChangeRefused,
// value.ChangeUnavailable or value.ChangeUnknown.
func Apply(ctx context.Context, c Config, operator string, o ApplyOrder) (value.AppliedChange, error) {
	if _, err := conf.Parse(o.Document); err != nil {
		return value.AppliedChange{}, fmt.Errorf("check document: %w", err)
	}
	change := value.Change{ID: o.Change, Who: operator, At: c.Now(), Expect: o.Expect, Digest: conf.Digest(o.Document)}
	return write(ctx, c.Store, writeRequest{environment: o.Environment, change: change, data: o.Document})
}

// ApplyRoute returns the route that serves Apply.
func ApplyRoute(c Config) route.Route {
	return route.New(http.MethodPost, applyPath, func(ctx context.Context, w wireApply) (wireApplied, error) {
		o := ApplyOrder{
			Environment: value.Environment(w.Environment),
			Change:      value.ChangeID(w.Change),
			Expect:      w.Expect,
			Document:    w.Document,
		}
		if err := checkOrder(o.Environment, o.Change); err != nil {
			return wireApplied{}, err
		}
		applied, err := Apply(ctx, c, route.Operator(ctx), o)
		return toWireApplied(applied), err
	})
}

// SendApply sends the order to an instance.
func SendApply(ctx context.Context, to route.Client, o ApplyOrder) (value.AppliedChange, error) {
	w := wireApply{Environment: string(o.Environment), Change: string(o.Change), Expect: o.Expect, Document: o.Document}
	applied, err := route.Call[wireApply, wireApplied](ctx, to, http.MethodPost, applyPath, w)
	return applied.value(), route.UnknownIfUnanswered(err, o.Change)
}
