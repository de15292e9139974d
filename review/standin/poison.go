package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["poison"] = playPoison
}

const (
	poisonPart  = "badbad01"
	connectTime = 3 * time.Second
)

func envInt(name string, byDefault int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return byDefault
}

// poisonCase counts what the replicas and clients see.
type poisonCase struct {
	w        *world
	sendHead bool
	down     time.Duration

	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
	next    int
	results []soundResult
}

type soundResult struct {
	sent  time.Time
	began bool
}

func (p *poisonCase) answer(r *replica, rw http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(attemptID)
	if !strings.Contains(q.Header.Get("X-Endivehitch-Prompt-Prefix"), poisonPart) {
		answerEvents(r, rw, q)
		return
	}
	r.addRun(id)
	p.mu.Lock()
	p.reached = append(p.reached, time.Now())
	p.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	if p.sendHead {
		rw.Header().Set(signature, "sig."+r.id)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("X-Endivehitch-Prediction-Confidence", "95")
		rw.WriteHeader(http.StatusOK)
		rw.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
	p.crash(r)
	<-q.Context().Done()
}

func (p *poisonCase) crash(r *replica) {
	p.mu.Lock()
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		p.mu.Unlock()
		return
	}
	r.crashed = true
	r.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	p.next++
	n := p.next
	p.mu.Unlock()
	p.w.record.add("%s crashes", r.id)
	go r.stop()
	go func() {
		time.Sleep(p.down)
		if _, err := p.w.newReplica(fmt.Sprintf("i-%d", 100+n), drafting, "v1", p.answer); err != nil {
			p.w.record.add("a replica isn't back: %v", err)
		}
		time.Sleep(600 * time.Millisecond)
		p.w.store.remove("servers/" + r.id)
	}()
}

// answerEvents answers with a stream of events.
func answerEvents(r *replica, rw http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(attemptID)
	r.addRun(id)
	time.Sleep(20 * time.Millisecond)
	rw.Header().Set(signature, "sig."+r.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Endivehitch-Prediction-Confidence", "95")
	for i := 1; i <= 6; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

func playPoison(w *world) ([]string, error) {
	p := &poisonCase{w: w, sendHead: envInt("HEAD", 1) == 1, down: time.Duration(envInt("DOWN", 3000)) * time.Millisecond}
	for i := range envInt("REPLICAS", 9) {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), drafting, "v1", p.answer); err != nil {
			return nil, err
		}
	}
	var models []string
	if envInt("CASCADE", 0) == 1 {
		models = []string{"m0", "m1", "m2"}
	}
	w.putConfig(1, streamRoute("/lohu930/", true, models...))
	if err := w.startEdges(envInt("EDGES", 3)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var n, m int
	loop := func(perS float64, send func()) {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
					running.Go(send)
				}
			}
		})
	}
	soundFirst := envInt("FIRST", 2)
	loop(float64(envInt("SOUND", 20)), func() {
		p.mu.Lock()
		n++
		i := n
		p.mu.Unlock()
		second := fmt.Sprintf("%08x", 0x91000000+i%envInt("SECONDS", 8))
		sent := time.Now()
		got := w.sendPrompt(fmt.Sprintf("s%015d", i), fmt.Sprintf("5c1e07a%d:800,%s:410,%08x:250", i%soundFirst, second, i))
		p.mu.Lock()
		p.results = append(p.results, soundResult{sent, got.status == http.StatusOK})
		p.mu.Unlock()
	})
	time.Sleep(8 * time.Second)
	began := time.Now()
	if w.trouble {
		loop(float64(envInt("POISON", 3)), func() {
			p.mu.Lock()
			m++
			i := m
			p.mu.Unlock()
			prefix := fmt.Sprintf("5c1e07a0:800,%s:410,%08x:250", poisonPart, 0x10000000+i)
			if envInt("PLACE", 1) == 0 {
				prefix = fmt.Sprintf("%s:800,91000000:410,%08x:250", poisonPart, 0x10000000+i)
			}
			w.sendPrompt(fmt.Sprintf("p%015d", i), prefix)
		})
	}
	time.Sleep(time.Duration(envInt("LENGTH", 45)) * time.Second)
	close(stop)
	running.Wait()
	return p.judge(began), nil
}

func (w *world) sendPrompt(id, prefix string) outcome {
	header := requestHeader(id, "10000")
	header["X-Endivehitch-Model-Id"] = "daka510000"
	if envInt("CASCADE", 0) == 1 {
		header["X-Endivehitch-Model-Id"] = "*"
	}
	header["X-Endivehitch-Token-Usage"] = "1460,80"
	header["X-Endivehitch-Prompt-Prefix"] = prefix
	e := w.edges[rand.IntN(len(w.edges))]
	w.record.add("a client sends %s to %s", id, e.name)
	got := sendOnce(e.frontend, http.MethodPost, "/lohu930/2f", "prompt", header, 12*time.Second)
	w.record.add("the client gets for %s: %v", id, got)
	return got
}

func (p *poisonCase) judge(began time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var breaches []string
	var from time.Time
	switch {
	case len(p.crashes) >= 5:
		from = p.crashes[4]
	case len(p.crashes) > 0:
		from = p.crashes[len(p.crashes)-1]
	}
	late := 0
	if len(p.crashes) >= 5 {
		for _, at := range p.reached {
			if at.After(from.Add(connectTime)) {
				late++
			}
		}
	}
	var before, after, beganBefore, beganAfter int
	perSecond := map[int][2]int{}
	for _, r := range p.results {
		s := perSecond[int(r.sent.Sub(began).Seconds())]
		s[0]++
		if r.began {
			s[1]++
		}
		perSecond[int(r.sent.Sub(began).Seconds())] = s
		switch {
		case r.sent.Before(began):
			before++
			if r.began {
				beganBefore++
			}
		case !from.IsZero() && r.sent.After(from.Add(2*connectTime)):
			after++
			if r.began {
				beganAfter++
			}
		}
	}
	for s := -8; s < 60; s++ {
		if v, ok := perSecond[s]; ok {
			p.w.record.add("second %d: %d sound requests, %d began", s, v[0], v[1])
		}
	}
	text := fmt.Sprintf("%d crashes, the fifth %.1f s after the first request; %d requests reached replicas later than 3 s after it; sound requests that began at the first attempt: %d of %d before, %d of %d later than 6 s after it",
		len(p.crashes), from.Sub(began).Seconds(), late, beganBefore, before, beganAfter, after)
	p.w.record.add("%s", text)
	fmt.Println(text)
	if late > 3 {
		breaches = append(breaches, "BUDGET: "+text)
	}
	if before >= 20 && after >= 20 && beganAfter*before*2 < beganBefore*after {
		breaches = append(breaches, "LOST: "+text)
	}
	return breaches
}
