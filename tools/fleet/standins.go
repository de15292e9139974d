package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

const (
	serversPerPool = 3
	historyEvents  = 1 << 16
)

// standIns holds the stand-ins for the platform and the backend servers, which run in this process.
type standIns struct {
	document    []byte
	parsed      value.Document
	store       *fakes.Store
	platform    *httptest.Server
	servers     []value.BackendServer
	services    []*fakes.PlainService
	httpServers []*httptest.Server
}

func newStandIns(path string) (*standIns, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	doc, err := conf.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	backing, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: historyEvents})
	if err != nil {
		return nil, fmt.Errorf("create store: %w", err)
	}
	s := &standIns{document: data, parsed: doc, store: fakes.NewStore(backing)}
	s.platform = httptest.NewServer(fakes.Etcd{Store: s.store}.Handler())
	for _, p := range doc.Pools {
		s.addPool(p.Name)
	}
	return s, nil
}

func (s *standIns) addPool(pool value.PoolName) {
	var versions []value.VersionKey
	for _, m := range s.parsed.Models {
		for _, v := range m.Versions {
			if v.Pool == pool {
				versions = append(versions, m.Key(v.Name))
			}
		}
	}
	for i := range serversPerPool {
		id := fmt.Sprintf("%s-%d", pool, i+1)
		if len(versions) > 0 {
			s.addServer(id, pool, httptest.NewServer(&fakes.Chat{Name: id}), versions)
			continue
		}
		p := &fakes.PlainService{Name: id}
		s.services = append(s.services, p)
		s.addServer(id, pool, httptest.NewServer(p), nil)
	}
}

func (s *standIns) addServer(id string, pool value.PoolName, at *httptest.Server, versions []value.VersionKey) {
	s.httpServers = append(s.httpServers, at)
	s.servers = append(s.servers, value.BackendServer{
		ID: value.ServerID(id), Address: at.URL, Pool: pool, FailureDomain: domains[len(s.servers)%len(domains)], Versions: versions,
	})
}

func (s *standIns) setStoreDown(down bool) error {
	return s.store.SetFaults(fakes.StoreFaults{}.WithDown(down))
}

// effects returns how often each request body has taken effect, over all plain services.
func (s *standIns) effects() map[string]int {
	all := make(map[string]int)
	for _, p := range s.services {
		for body, n := range p.Effects() {
			all[body] += n
		}
	}
	return all
}

func (s *standIns) close() {
	s.platform.CloseClientConnections()
	s.platform.Close()
	for _, r := range s.httpServers {
		r.CloseClientConnections()
		r.Close()
	}
}
