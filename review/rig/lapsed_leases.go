package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The load and the outage of the case of the lapsed leases.
const (
	limitedRate    = 20
	fleetInstances = 7
	callsPerSecond = 840
	limitWarmUp    = 6 * time.Second
	outageTime     = 3200 * time.Millisecond
	limitAfter     = 8 * time.Second
	limitWindow    = 4 * time.Second
)

// playLapsedLeases takes the store down for a time in which all leases run out, while one server of three names a limit, and
// counts what that server gets within each window.
func playLapsedLeases(p *play) (int, error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	defer s.close()
	s.put(words.Config, operatorConfig())
	var servers []*deskServer
	for i := range 3 {
		limit := ""
		if i == 0 {
			limit = fmt.Sprint(limitedRate)
		}
		d, err := startDesk(p, s, fmt.Sprintf("i-%d", i+1), zones[i], 20*time.Millisecond, limit)
		if err != nil {
			return 0, err
		}
		servers = append(servers, d)
	}
	f, err := startFleet(p, s, fleetInstances)
	if err != nil {
		return 0, err
	}
	end := make(chan struct{})
	var calls sync.WaitGroup
	for _, e := range f.edges {
		calls.Go(func() { sendSafe(p, newCaller(e), callsPerSecond/fleetInstances, end) })
	}
	wait(limitWarmUp)
	if p.trouble {
		p.record.note("the store is down")
		s.setDown(true, false)
	}
	wait(outageTime)
	if p.trouble {
		s.setDown(false, true)
		p.record.note("the store is back, and all leases have run out")
	}
	wait(limitAfter)
	close(end)
	calls.Wait()
	return checkLimit(p, servers[0].received()), nil
}

// sendSafe sends requests that may be repeated at the rate until the end.
func sendSafe(p *play, c *caller, perSecond int, end <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			wait(rand.N(5 * time.Millisecond))
			id := newID()
			got := c.send(call{id: id, method: "GET", path: safePath + "x", deadline: 3 * time.Second})
			p.record.note("%s answers %s: %d whole=%t", c.edge.name, id, got.status, got.isWhole)
		})
	}
}

// checkLimit returns 1 if the server got more within some window than its limit allows one and a half times, and five more.
func checkLimit(p *play, arrivals []arrival) int {
	if len(arrivals) == 0 {
		return 0
	}
	const allowed = 1.5*limitedRate*4 + 5
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	first := arrivals[0].at.Add(connectivity)
	most, mostAt := 0, time.Time{}
	for i, a := range arrivals {
		if a.at.Before(first) {
			continue
		}
		n := 0
		for _, b := range arrivals[i:] {
			if b.at.Sub(a.at) <= limitWindow {
				n++
			}
		}
		if n > most {
			most, mostAt = n, a.at
		}
	}
	p.record.note("the limited server got %d requests in the 4 s from %.3f s; allowed are %.0f", most, mostAt.Sub(p.record.start).Seconds(), allowed)
	if float64(most) > allowed {
		return 1
	}
	return 0
}
