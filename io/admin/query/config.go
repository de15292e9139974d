package query

import (
	"context"
	"net/http"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/admin/route"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

type wireEnvironment struct {
	Environment value.Environment
}

type wireKept struct {
	Revision int64
	Change   value.ChangeID
	Who      string
	At       time.Time
	Expect   int64
	Digest   string
	// Document is the kept bytes, as base64.
	Document []byte
}

const configPath = "/admin/config"

// ConfigRoute serves what the key-value service keeps for an environment.
func ConfigRoute(from plat.Reader) route.Route {
	return route.New(http.MethodGet, configPath, func(ctx context.Context, w wireEnvironment) (wireKept, error) {
		r, err := conf.Load(ctx, from, w.Environment)
		if err != nil {
			return wireKept{}, value.ChangeUnavailable{Detail: err.Error()}
		}
		if r.Standing.Revision == 0 {
			return wireKept{}, value.ChangeRefused{Reason: value.ReasonNothingStored, Detail: "no document was accepted in " + string(w.Environment)}
		}
		c := r.Standing.Change
		return wireKept{
			Revision: r.Standing.Revision,
			Change:   c.ID,
			Who:      c.Who,
			At:       c.At,
			Expect:   c.Expect,
			Digest:   c.Digest,
			Document: r.Bytes,
		}, nil
	})
}

// AskConfig asks an instance for the environment's document; the error is value.ChangeRefused where there is none.
func AskConfig(ctx context.Context, to route.Client, e value.Environment) (conf.Record, error) {
	w, err := route.Ask[wireEnvironment, wireKept](ctx, to, http.MethodGet, configPath, wireEnvironment{Environment: e})
	if err != nil {
		return conf.Record{}, err
	}
	change := value.Change{ID: w.Change, Who: w.Who, At: w.At, Expect: w.Expect, Digest: w.Digest}
	return conf.Record{Bytes: w.Document, Standing: value.CurrentRecord{Revision: w.Revision, Change: change}}, nil
}
