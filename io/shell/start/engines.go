package start

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
)

// engines are the demo's stand-in backend servers, in this process and on loopback.
type engines struct {
	running []*httptest.Server
	listed  []value.BackendServer
	// orders counts the reorders that took effect.
	orders atomic.Int64
}

func startEngines() *engines {
	e := new(engines)
	for i := range 2 {
		e.model(fmt.Sprintf("small-%d", i+1), "drafting-small", "drafting-llm/small-1", i)
		e.model(fmt.Sprintf("large-%d", i+1), "drafting-large", "drafting-llm/large-2", i)
	}
	e.add("desk-1", "reorder-desk", 0, http.HandlerFunc(e.placeOrder))
	return e
}

func (e *engines) model(id string, pool value.PoolName, v value.VersionKey, place int) {
	e.add(id, pool, place, &fakes.Chat{Name: id}, v)
}

func (e *engines) add(id string, pool value.PoolName, place int, h http.Handler, versions ...value.VersionKey) {
	server := httptest.NewServer(h)
	e.running = append(e.running, server)
	e.listed = append(e.listed, value.BackendServer{
		ID:            value.ServerID(id),
		Address:       server.URL,
		Pool:          pool,
		FailureDomain: demoDomains[place%len(demoDomains)],
		Versions:      versions,
		State:         value.ServerLive,
	})
}

func (e *engines) close() {
	for _, s := range e.running {
		s.Close()
	}
}

// placeOrder is a plain service that takes a reorder.
func (e *engines) placeOrder(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The caller sees an answer that could not be written as cut off.
	_, _ = fmt.Fprintf(w, `{"Order":%d}`+"\n", e.orders.Add(1))
}
