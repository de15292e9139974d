package front

import (
	"net/http"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// service forwards a request to a plain service: a backend server that is not a model engine.
func (f *Front) service(w http.ResponseWriter, r *http.Request, c caller) error {
	held, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	defer held.Release()
	body := held.Bytes
	req, session, err := f.newRequest(r, c, body)
	if err != nil {
		return err
	}
	kind, ok := f.Snapshot().Kind(req.Kind)
	if !ok || kind.Service != value.ServiceName(r.PathValue("service")) {
		return value.Refusal{
			Reason: value.ReasonKindNotAllowed, NotRun: true,
			Detail: "kind " + string(req.Kind) + " is not answered by service " + r.PathValue("service"),
		}
	}
	call := engine.Call{
		Method:      r.Method,
		Path:        servicePath(r),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
		Key:         req.Key,
	}
	return f.serve(r, flow.Job{Request: req, Call: call}, &responseWriter{w: w, front: f, session: session})
}

// servicePath returns the path below the service, with the query string.
func servicePath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}
