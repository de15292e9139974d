package admin

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/justinas/alice"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/admin/query"
	"endivehitch/io/admin/route"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

// Config sets up the operators' face.
type Config struct {
	// Operators maps the hexadecimal SHA-256 sums of operators' keys to their names.
	Operators map[string]string
	// Readers maps the sums of keys that may ask and change nothing to their holders' names.
	Readers map[string]string
	// Metrics serves the instance's metrics; without it there is no such path.
	Metrics  http.Handler
	Store    plat.Store
	Snapshot func() state.State
	Now      func() time.Time
	// Fleet returns the instances with what they say of their configuration.
	Fleet func(context.Context) []value.Instance
	// Decisions returns the kept decisions about a request, the first one first, wherever they are kept.
	Decisions func(context.Context, value.RequestID) ([]value.Decision, error)
}

// Admin is the operators' face.
type Admin struct {
	config Config
	routes []route.Route
}

const (
	bearerPrefix = "Bearer "
	metricsPath  = "/metrics"
)

// New returns a face, or an error that names what the configuration lacks.
func New(c Config) (*Admin, error) {
	switch {
	case c.Store == nil:
		return nil, errors.New("admin: no key-value service")
	case c.Snapshot == nil:
		return nil, errors.New("admin: no snapshot")
	case c.Now == nil:
		return nil, errors.New("admin: no clock")
	case c.Decisions == nil || c.Fleet == nil:
		return nil, errors.New("admin: no decisions or fleet")
	}
	changing := cmds.Config{Store: c.Store, Now: c.Now}
	asking := query.Config{Snapshot: c.Snapshot, Now: c.Now, Fleet: c.Fleet, Decisions: c.Decisions}
	return &Admin{config: c, routes: []route.Route{
		cmds.ApplyRoute(changing),
		cmds.PromoteRoute(changing),
		cmds.RollOutRoute(changing),
		query.StatusRoute(asking),
		query.ExplainRoute(asking),
		query.ConfigRoute(c.Store),
		query.AuditRoute(c.Store),
	}}, nil
}

// Handler returns the face's routes behind authentication.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range a.routes {
		mux.Handle(r.Method+" "+r.Path, r.Handler)
	}
	if a.config.Metrics != nil {
		mux.Handle("GET "+metricsPath, a.config.Metrics)
	}
	return alice.New(a.authenticated).Then(mux)
}

func (a *Admin) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		who, known := a.holder(r.Method, conf.HashKey(key))
		if !ok || !known {
			route.WriteProblem(w, value.ChangeRefused{Reason: value.ReasonNotOperator, Detail: "operator's key is not known"})
			return
		}
		next.ServeHTTP(w, r.WithContext(route.WithOperator(r.Context(), who)))
	})
}

// holder returns who may use the method with the key of the given sum.
func (a *Admin) holder(method, sum string) (string, bool) {
	if who, ok := a.config.Operators[sum]; ok {
		return who, true
	}
	who, ok := a.config.Readers[sum]
	return who, ok && method == http.MethodGet
}
