package start

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
)

// fakeServers are the demo's backend servers: stand-ins in this process that listen on loopback.
type fakeServers struct {
	servers  []*httptest.Server
	backends []value.BackendServer
	// placedOrders counts the reorders that took effect.
	placedOrders atomic.Int64
}

func startFakeServers() *fakeServers {
	s := new(fakeServers)
	for i := range 2 {
		s.addModel(fmt.Sprintf("small-%d", i+1), "drafting-small", "drafting-llm/small-1", i)
		s.addModel(fmt.Sprintf("large-%d", i+1), "drafting-large", "drafting-llm/large-2", i)
	}
	s.add("desk-1", "reorder-desk", 0, http.HandlerFunc(s.placeOrder))
	return s
}

func (s *fakeServers) addModel(id string, pool value.PoolName, version value.VersionKey, index int) {
	s.add(id, pool, index, &fakes.Chat{Name: id}, version)
}

func (s *fakeServers) add(id string, pool value.PoolName, index int, handler http.Handler, versions ...value.VersionKey) {
	server := httptest.NewServer(handler)
	s.servers = append(s.servers, server)
	s.backends = append(s.backends, value.BackendServer{
		ID:            value.ServerID(id),
		Address:       server.URL,
		Pool:          pool,
		FailureDomain: demoDomains[index%len(demoDomains)],
		Versions:      versions,
		State:         value.ServerLive,
	})
}

func (s *fakeServers) close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// placeOrder handles a request to the plain service: it counts the reorder and answers with its
// number.
func (s *fakeServers) placeOrder(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write can't be reported; the caller receives a truncated answer.
	_, _ = fmt.Fprintf(w, `{"Order":%d}`+"\n", s.placedOrders.Add(1))
}
