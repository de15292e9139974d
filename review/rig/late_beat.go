package main

import (
	"fmt"
	"sync"
	"time"
)

// The times of the case of the late heartbeat, from the lost heartbeat on.
const (
	beatWarmUp  = 4 * time.Second
	leaveAfter  = 200 * time.Millisecond
	beatDelay   = 5500 * time.Millisecond
	exitAfter   = 5800 * time.Millisecond
	beatRunOut  = 3 * time.Second
	ordersPause = 30 * time.Millisecond
	orderWork   = 450 * time.Millisecond
)

// playLateBeat has a server leave whose last heartbeat the store carries out late, and looks for requests that reach the
// server after an instance has passed on that it leaves.
func playLateBeat(p *play) (int, error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	defer s.close()
	s.put(words.Config, operatorConfig())
	var servers []*deskServer
	for i := range 3 {
		d, err := startDesk(p, s, fmt.Sprintf("i-%d", i+1), zones[i], orderWork, "")
		if err != nil {
			return 0, err
		}
		servers = append(servers, d)
	}
	f, err := startFleet(p, s, 3)
	if err != nil {
		return 0, err
	}
	o := &orders{play: p, leaving: servers[0].id, told: make(map[*edge]time.Time), sent: make(map[string]order)}
	end := make(chan struct{})
	var calls sync.WaitGroup
	for _, e := range f.edges {
		calls.Go(func() { o.sendAll(newCaller(e), end) })
	}
	wait(beatWarmUp)
	servers[0].leave(p)
	close(end)
	calls.Wait()
	return o.check(servers[0].received()), nil
}

// leave lets the server leave, as one that never reports that it drains, and exit some seconds later.
func (d *deskServer) leave(p *play) {
	close(d.stopBeats)
	late := d.nextEntry()
	p.record.note("server %s sends its last heartbeat", d.id)
	if !p.trouble {
		d.store.put("servers/"+d.id, late)
	}
	began := time.Now()
	wait(leaveAfter)
	d.isLeaving.Store(true)
	d.store.remove("servers/" + d.id)
	p.record.note("server %s leaves: its entry is removed", d.id)
	wait(beatDelay - time.Since(began))
	if p.trouble {
		d.store.put("servers/"+d.id, late)
		p.record.note("the store carries out the last heartbeat of %s", d.id)
	}
	wait(exitAfter - time.Since(began))
	d.exit()
	d.store.remove("servers/" + d.id)
	p.record.note("server %s has exited", d.id)
	wait(beatRunOut)
}

// orders holds the requests of the callers, which may run once.
type orders struct {
	play    *play
	leaving string
	mu      sync.Mutex
	// told holds when each instance first passed on an answer that says its server leaves.
	told map[*edge]time.Time
	sent map[string]order
}

type order struct {
	edge *edge
	at   time.Time
	got  result
}

func (o *orders) sendAll(c *caller, end <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(ordersPause)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		calls.Go(func() { o.send(c) })
	}
}

func (o *orders) send(c *caller) {
	id, at := newID(), time.Now()
	got := c.send(call{id: id, method: "POST", path: unsafePath + "x", body: "an order", deadline: 3 * time.Second})
	o.play.record.note("%s answers %s: %d whole=%t leaving=%q", c.edge.name, id, got.status, got.isWhole, got.header.Get("Server-Leaving"))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[id] = order{edge: c.edge, at: at, got: got}
	if _, known := o.told[c.edge]; got.header.Get("Server-Leaving") != "" && !known {
		o.told[c.edge] = time.Now()
	}
}

// check counts the requests that reached the leaving server although their instance had passed on, longer before than the
// drain timeout, that it leaves.
func (o *orders) check(arrivals []arrival) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	broken, lost := 0, 0
	for _, a := range arrivals {
		sent := o.sent[a.id]
		told, ok := o.told[sent.edge]
		if !ok || sent.at.Sub(told) <= drainTimeout {
			continue
		}
		broken++
		if sent.got.status != 200 {
			lost++
		}
		o.play.record.note("request %s, sent %.3f s after %s had passed on that %s leaves, reached it; status %d", a.id, sent.at.Sub(told).Seconds(), sent.edge.name, o.leaving, sent.got.status)
	}
	o.play.record.note("%d instances had passed on that %s leaves; %d requests reached it too late, %d of them were lost", len(o.told), o.leaving, broken, lost)
	return broken
}
