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

// stand is the stand-ins for the platform and the backend servers, in this process.
type stand struct {
	document []byte
	parsed   value.Document
	store    *fakes.Store
	platform *httptest.Server
	servers  []value.BackendServer
	services []*fakes.Plain
	running  []*httptest.Server
}

func newStand(path string) (*stand, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	doc, err := conf.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("check document: %w", err)
	}
	inner, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: historyEvents})
	if err != nil {
		return nil, fmt.Errorf("make store: %w", err)
	}
	s := &stand{document: data, parsed: doc, store: fakes.NewStore(inner)}
	s.platform = httptest.NewServer(fakes.Etcd{Store: s.store}.Handler())
	for _, p := range doc.Pools {
		s.addPool(p.Name)
	}
	return s, nil
}

func (s *stand) addPool(pool value.PoolName) {
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
			s.add(id, pool, httptest.NewServer(&fakes.Chat{Name: id}), versions)
			continue
		}
		p := &fakes.Plain{Name: id}
		s.services = append(s.services, p)
		s.add(id, pool, httptest.NewServer(p), nil)
	}
}

func (s *stand) add(id string, pool value.PoolName, at *httptest.Server, versions []value.VersionKey) {
	s.running = append(s.running, at)
	s.servers = append(s.servers, value.BackendServer{
		ID: value.ServerID(id), Address: at.URL, Pool: pool, FailureDomain: domains[len(s.servers)%len(domains)], Versions: versions,
	})
}

func (s *stand) setDown(down bool) error {
	return s.store.Set(fakes.Faults{}.WithDown(down))
}

// effects returns how often each body has taken effect at any plain service.
func (s *stand) effects() map[string]int {
	all := make(map[string]int)
	for _, p := range s.services {
		for body, n := range p.Effects() {
			all[body] += n
		}
	}
	return all
}

func (s *stand) close() {
	s.platform.CloseClientConnections()
	s.platform.Close()
	for _, r := range s.running {
		r.CloseClientConnections()
		r.Close()
	}
}
