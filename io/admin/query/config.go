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

type wireRecord struct {
	Revision int64
	Change   value.ChangeID
	Who      string
	At       time.Time
	Expect   int64
	Digest   string
	// Document holds the stored bytes, which JSON encodes as base64.
	Document []byte
}

const configPath = "/admin/config"

// ConfigRoute returns the route that serves an environment's document and its last change from the
// key-value service.
func ConfigRoute(store plat.Reader) route.Route {
	return route.New(http.MethodGet, configPath, func(ctx context.Context, w wireEnvironment) (wireRecord, error) {
		record, err := conf.LoadRecord(ctx, store, w.Environment)
		if err != nil {
			return wireRecord{}, value.ChangeUnavailable{Detail: err.Error()}
		}
		if record.Current.Revision == 0 {
			return wireRecord{}, value.ChangeRefused{Reason: value.ReasonNothingStored, Detail: "no document was accepted in " + string(w.Environment)}
		}
		change := record.Current.Change
		return wireRecord{
			Revision: record.Current.Revision,
			Change:   change.ID,
			Who:      change.Who,
			At:       change.At,
			Expect:   change.Expect,
			Digest:   change.Digest,
			Document: record.Bytes,
		}, nil
	})
}

// FetchConfig asks an instance for the environment's document. The error is value.ChangeRefused if
// no document is in force there.
func FetchConfig(ctx context.Context, to route.Client, e value.Environment) (conf.Record, error) {
	w, err := route.Query[wireEnvironment, wireRecord](ctx, to, http.MethodGet, configPath, wireEnvironment{Environment: e})
	if err != nil {
		return conf.Record{}, err
	}
	change := value.Change{ID: w.Change, Who: w.Who, At: w.At, Expect: w.Expect, Digest: w.Digest}
	return conf.Record{Bytes: w.Document, Current: value.CurrentRecord{Revision: w.Revision, Change: change}}, nil
}
