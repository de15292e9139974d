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

// face serves the operators' face over a store with faults.
func face(t *testing.T) (route.Client, *fakes.Store) {
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

func apply(t *testing.T, c route.Client, id value.ChangeID, expect int64) (value.AppliedChange, error) {
	t.Helper()
	data, err := os.ReadFile("../../examples/vadodara.yaml")
	assert.NilError(t, err)
	return cmds.SendApply(t.Context(), c, cmds.ApplyOrder{Environment: trial, Change: id, Expect: expect, Document: data})
}

func TestErrorsKeepTheirTypesOverHTTP(t *testing.T) {
	c, _ := face(t)
	one, err := apply(t, c, "one", 0)
	assert.NilError(t, err)
	assert.Equal(t, one.Change.Who, "asha", "the key says who, not the order")

	_, err = apply(t, c, "two", 0)
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

func TestReadersKeyChangesNothing(t *testing.T) {
	c, store := face(t)
	c.Key = "reader"
	_, err := query.AskStatus(t.Context(), c)
	assert.NilError(t, err)
	_, err = apply(t, c, "one", 0)
	var refused value.ChangeRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, value.ReasonNotOperator)
	assert.Equal(t, store.Writes(), int64(0))
}

func TestMetricsNeedAKey(t *testing.T) {
	c, _ := face(t)
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

func TestNoKeyNoAnswer(t *testing.T) {
	c, store := face(t)
	for _, key := range []string{"", "wrong"} {
		c.Key = key
		_, err := apply(t, c, "one", 0)
		var refused value.ChangeRefused
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Reason, value.ReasonNotOperator)
		_, err = query.AskStatus(t.Context(), c)
		assert.Assert(t, errors.As(err, &refused), "%v", err)
	}
	assert.Equal(t, store.Reads()+store.Writes(), int64(0))
}

// losing answers nothing to a change that the instance has made.
type losing struct {
	http.RoundTripper
}

func (l losing) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return nil, errors.Join(errors.New("connection reset"), resp.Body.Close())
}

func TestInstanceLostBeforeItsAnswer(t *testing.T) {
	c, store := face(t)
	sound := c.HTTP
	c.HTTP = &http.Client{Transport: losing{RoundTripper: sound.Transport}}
	_, err := apply(t, c, "one", 0)
	assert.ErrorType(t, err, value.ChangeUnknown{})
	c.HTTP = sound
	_, err = apply(t, c, "one", 0)
	assert.NilError(t, err)
	assert.Equal(t, store.Writes(), int64(1))
}

func TestInstanceNotReached(t *testing.T) {
	c, _ := face(t)
	c.Base = "http://127.0.0.1:1"
	_, err := apply(t, c, "one", 0)
	assert.ErrorType(t, err, value.ChangeUnavailable{})
}

func TestUntrustedInstanceGetsNoOrder(t *testing.T) {
	served := false
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	_, err := apply(t, route.Client{Base: server.URL, Key: "key", HTTP: &http.Client{Transport: &http.Transport{}}}, "one", 0)
	assert.ErrorType(t, err, value.ChangeUnavailable{})
	server.Close()
	assert.Assert(t, !served)
}

func TestQuestions(t *testing.T) {
	c, _ := face(t)
	status, err := query.AskStatus(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, status.Fleet[0].Instance.FailureDomain, value.FailureDomain("guj-a"))
	x, err := query.AskExplain(t.Context(), c, "q")
	assert.NilError(t, err)
	assert.Equal(t, x.CostMicros, int64(5))
	_, err = query.AskExplain(t.Context(), c, "unknown")
	assert.ErrorType(t, err, value.ChangeRefused{})
	a, err := query.AskAudit(t.Context(), c, []value.RequestID{"q"})
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Missing, []value.RequestID{"q"})
	one, err := apply(t, c, "one", 0)
	assert.NilError(t, err)
	kept, err := query.AskConfig(t.Context(), c, trial)
	assert.NilError(t, err)
	assert.Equal(t, kept.Standing.Change, one.Change)
	assert.Equal(t, conf.Digest(kept.Bytes), one.Change.Digest)
}

func TestBodyWithoutEndIsBounded(t *testing.T) {
	c, _ := face(t)
	body := make([]byte, 4<<20)
	for i := range body {
		body[i] = ' '
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.Base+"/admin/apply", &endless{body})
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		// The face may hang up before the whole body is sent.
		return
	}
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

type endless struct {
	data []byte
}

// Read never ends the body.
func (e *endless) Read(p []byte) (int, error) {
	return copy(p, e.data), nil
}
