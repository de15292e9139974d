package admin_test

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/admin"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/admin/query"
	"endivehitch/io/admin/route"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

const trial = value.Environment("trial")

// serveAdmin serves the operators' API and returns a client for it and its store, which can inject
// faults.
func serveAdmin(t *testing.T) (route.Client, *fakes.Store) {
	t.Helper()
	inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: 16})
	assert.NilError(t, err)
	store := fakes.NewStore(inner)
	snapshot := state.New(value.Instance{ID: "a", FailureDomain: "guj-a", State: value.InstanceLive})
	a, err := admin.New(admin.Config{
		Operators: map[string]string{conf.HashKey("key"): "asha"},
		Readers:   map[string]string{conf.HashKey("reader"): "scraper"},
		Metrics:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }),
		Store:     store,
		Snapshot:  func() state.State { return snapshot },
		Now:       time.Now,
		Fleet:     func(context.Context) []value.Instance { return []value.Instance{snapshot.Self} },
		Decisions: func(_ context.Context, id value.RequestID) ([]value.Decision, error) {
			if id != "q" {
				return nil, value.ChangeRefused{Reason: value.ReasonUnknownRequest}
			}
			return []value.Decision{{Request: id, Account: "ward", Kind: "draft", Step: value.StepBill, CostMicros: 5}}, nil
		},
	})
	assert.NilError(t, err)
	server := httptest.NewServer(a.Handler())
	t.Cleanup(server.Close)
	return route.Client{Base: server.URL, Key: "key", HTTP: server.Client()}, store
}

func sendApply(t *testing.T, c route.Client, id value.ChangeID, expect int64) (value.AppliedChange, error) {
	t.Helper()
	data, err := os.ReadFile("../../examples/vadodara.yaml")
	assert.NilError(t, err)
	return cmds.SendApply(t.Context(), c, cmds.ApplyOrder{Environment: trial, Change: id, Expect: expect, Document: data})
}

func TestClientReturnsErrorsOfTheServersTypes(t *testing.T) {
	c, _ := serveAdmin(t)
	one, err := sendApply(t, c, "one", 0)
	assert.NilError(t, err)
	assert.Equal(t, one.Change.Who, "asha", "the operator's name comes from the key, not from the request")

	_, err = sendApply(t, c, "two", 0)
	var conflict value.ChangeConflict
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Current.Revision, one.Revision)
	assert.Equal(t, conflict.Current.Change, one.Change)
	assert.Equal(t, conflict.Attempted.ID, value.ChangeID("two"))

	_, err = cmds.SendApply(t.Context(), c, cmds.ApplyOrder{Environment: trial, Change: "x", Document: []byte("Nam: x\n")})
	var faults conf.Faults
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	assert.Equal(t, faults[0].Path, "Nam")

	_, err = cmds.SendApply(t.Context(), c, cmds.ApplyOrder{Environment: "../x", Change: "x"})
	assert.ErrorType(t, err, route.BadRequest{})

	_, err = cmds.SendPromote(t.Context(), c, cmds.PromoteOrder{From: trial, To: "production", Change: "p", Digest: "other"})
	var refused value.ChangeRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, value.ReasonNotInTrial)
}

func TestReaderKeyMayQueryButNotChange(t *testing.T) {
	c, store := serveAdmin(t)
	c.Key = "reader"
	_, err := query.FetchStatus(t.Context(), c)
	assert.NilError(t, err)
	_, err = sendApply(t, c, "one", 0)
	var refused value.ChangeRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, value.ReasonNotOperator)
	assert.Equal(t, store.Writes(), int64(0))
}

func TestMetricsRequireAKnownKey(t *testing.T) {
	c, _ := serveAdmin(t)
	for key, want := range map[string]int{"": http.StatusUnauthorized, "wrong": http.StatusUnauthorized, "reader": http.StatusTeapot} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.Base+"/metrics", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := c.HTTP.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, want, key)
	}
}

func TestUnknownKeyIsRefusedBeforeTheStoreIsCalled(t *testing.T) {
	c, store := serveAdmin(t)
	for _, key := range []string{"", "wrong"} {
		c.Key = key
		_, err := sendApply(t, c, "one", 0)
		var refused value.ChangeRefused
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Reason, value.ReasonNotOperator)
		_, err = query.FetchStatus(t.Context(), c)
		assert.Assert(t, errors.As(err, &refused), "%v", err)
	}
	assert.Equal(t, store.Reads()+store.Writes(), int64(0))
}

// droppingTransport lets a request take effect and then drops its response.
type droppingTransport struct {
	http.RoundTripper
}

func (d droppingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := d.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return nil, errors.Join(errors.New("connection reset"), resp.Body.Close())
}

func TestLostResponseLeavesOutcomeUnknownAndRetryWritesNothing(t *testing.T) {
	c, store := serveAdmin(t)
	working := c.HTTP
	c.HTTP = &http.Client{Transport: droppingTransport{RoundTripper: working.Transport}}
	_, err := sendApply(t, c, "one", 0)
	assert.ErrorType(t, err, value.ChangeUnknown{})
	c.HTTP = working
	_, err = sendApply(t, c, "one", 0)
	assert.NilError(t, err)
	assert.Equal(t, store.Writes(), int64(1))
}

func TestUnreachableInstanceIsUnavailable(t *testing.T) {
	c, _ := serveAdmin(t)
	c.Base = "http://127.0.0.1:1"
	_, err := sendApply(t, c, "one", 0)
	assert.ErrorType(t, err, value.ChangeUnavailable{})
}

func TestInstanceWithUntrustedCertificateReceivesNoRequest(t *testing.T) {
	served := false
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	_, err := sendApply(t, route.Client{Base: server.URL, Key: "key", HTTP: &http.Client{Transport: &http.Transport{}}}, "one", 0)
	assert.ErrorType(t, err, value.ChangeUnavailable{})
	server.Close()
	assert.Assert(t, !served)
}

func TestQueriesReturnTheServersValues(t *testing.T) {
	c, _ := serveAdmin(t)
	status, err := query.FetchStatus(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, status.Fleet[0].Instance.FailureDomain, value.FailureDomain("guj-a"))
	x, err := query.FetchExplanation(t.Context(), c, "q")
	assert.NilError(t, err)
	assert.Equal(t, x.CostMicros, int64(5))
	_, err = query.FetchExplanation(t.Context(), c, "unknown")
	assert.ErrorType(t, err, value.ChangeRefused{})
	a, err := query.FetchAudit(t.Context(), c, []value.RequestID{"q"})
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Missing, []value.RequestID{"q"})
	one, err := sendApply(t, c, "one", 0)
	assert.NilError(t, err)
	stored, err := query.FetchConfig(t.Context(), c, trial)
	assert.NilError(t, err)
	assert.Equal(t, stored.Current.Change, one.Change)
	assert.Equal(t, conf.Digest(stored.Bytes), one.Change.Digest)
}

func TestEndlessBodyIsRejected(t *testing.T) {
	c, _ := serveAdmin(t)
	body := make([]byte, 4<<20)
	for i := range body {
		body[i] = ' '
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.Base+"/admin/apply", &endlessBody{body})
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		// The server may close the connection while the client still sends the body.
		return
	}
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

type endlessBody struct {
	data []byte
}

// Read fills p and never reports the end of the body.
func (e *endlessBody) Read(p []byte) (int, error) {
	return copy(p, e.data), nil
}
