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

// Config configures the operators' API.
type Config struct {
	// Operators maps the hexadecimal SHA-256 hashes of operators' keys to the operators' names.
	Operators map[string]string
	// Readers maps the hashes of keys that are accepted for GET requests only to their holders'
	// names.
	Readers map[string]string
	// Metrics serves the instance's metrics; if it is nil, the path /metrics doesn't exist.
	Metrics  http.Handler
	Store    plat.Store
	Snapshot func() state.State
	Now      func() time.Time
	// Fleet returns all known instances with the configuration revision that each reports.
	Fleet func(context.Context) []value.Instance
	// Decisions returns the decisions about a request in the order in which they were made, from
	// whichever instance stores them.
	Decisions func(context.Context, value.RequestID) ([]value.Decision, error)
}

// Admin is the operators' API.
type Admin struct {
	config Config
	routes []route.Route
}

const (
	bearerPrefix = "Bearer "
	metricsPath  = "/metrics"
)

// New returns the operators' API, or an error that names a required field of the configuration that
// is not set.
func New(c Config) (*Admin, error) {
	switch {
	case c.Store == nil:
		return nil, errors.New("admin: no key-value service is configured")
	case c.Snapshot == nil:
		return nil, errors.New("admin: no function for snapshots of the state is configured")
	case c.Now == nil:
		return nil, errors.New("admin: no clock is configured")
	case c.Decisions == nil || c.Fleet == nil:
		return nil, errors.New("admin: no function for decisions or for the fleet is configured")
	}
	commandConfig := cmds.Config{Store: c.Store, Now: c.Now}
	queryConfig := query.Config{Snapshot: c.Snapshot, Now: c.Now, Fleet: c.Fleet, Decisions: c.Decisions}
	return &Admin{config: c, routes: []route.Route{
		cmds.ApplyRoute(commandConfig),
		cmds.PromoteRoute(commandConfig),
		cmds.RollOutRoute(commandConfig),
		query.StatusRoute(queryConfig),
		query.ExplainRoute(queryConfig),
		query.ConfigRoute(c.Store),
		query.AuditRoute(c.Store),
	}}, nil
}

// Handler returns a handler that authenticates each request and passes it to its route.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range a.routes {
		mux.Handle(r.Method+" "+r.Path, r.Handler)
	}
	if a.config.Metrics != nil {
		mux.Handle("GET "+metricsPath, a.config.Metrics)
	}
	return alice.New(a.authenticate).Then(mux)
}

func (a *Admin) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		name, known := a.nameOfKeyHolder(r.Method, conf.HashKey(key))
		if !ok || !known {
			route.WriteProblem(w, value.ChangeRefused{Reason: value.ReasonNotOperator, Detail: "operator's key is not known"})
			return
		}
		next.ServeHTTP(w, r.WithContext(route.WithOperator(r.Context(), name)))
	})
}

// nameOfKeyHolder returns the name of the holder of the key with this hash, and whether the key is
// accepted for the method.
func (a *Admin) nameOfKeyHolder(method, keyHash string) (string, bool) {
	if name, ok := a.config.Operators[keyHash]; ok {
		return name, true
	}
	name, ok := a.config.Readers[keyHash]
	return name, ok && method == http.MethodGet
}
