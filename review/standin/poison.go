package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["poison"] = playPoison
}

const (
	poisonPart = "badbad01"
	// resumablePrefix is the path of a route whose streams may be resumed, and oncePrefix of one whose streams may run once.
	resumablePrefix = "/lohu930/"
	oncePrefix      = "/puxa403/"
	connectTime     = 3 * time.Second
	// crashedTime is how long a replica that has crashed is away, and beatsOfSilence how long its entry stays in the store.
	crashedTime    = 3 * time.Second
	beatsOfSilence = 3600 * time.Millisecond
	poisonReplicas = 9
	poisonEdges    = 7
	// soundPerS and poisonPerS are the requests a second, and calmTime and poisonTime how long they come.
	soundPerS  = 20
	poisonPerS = 25
	calmTime   = 8 * time.Second
	poisonTime = 14 * time.Second
	// soundFirst and soundParts are the numbers of first and second parts of the sound requests' prompts.
	soundFirst = 2
	soundParts = 8
)

// poisonCase counts what the replicas and clients see.
type poisonCase struct {
	w *world

	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
	next    int
	results []soundResult
}

type soundResult struct {
	sent time.Time
	// hasRoute is set if the request is of the deadly requests' route.
	hasRoute bool
	began    bool
	// lost is set if the request may run once at most, has run, and got no whole answer.
	lost bool
}

// answer answers a request; a replica crashes as it begins to write an answer on the deadly part.
func (p *poisonCase) answer(r *replica, rw http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(attemptID)
	if !strings.Contains(q.Header.Get(word.Prompt), poisonPart) {
		answerEvents(r, rw, q)
		return
	}
	r.addRun(id)
	p.mu.Lock()
	p.reached = append(p.reached, time.Now())
	p.mu.Unlock()
	pause(30 * time.Millisecond)
	p.crash(r)
	<-q.Context().Done()
}

// crash takes the replica away, and brings it back as another incarnation.
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
		pause(crashedTime)
		if _, err := p.w.newReplica(fmt.Sprintf("i-%d", 100+n), drafting, "v1", p.answer); err != nil {
			p.w.record.add("a replica isn't back: %v", err)
		}
		pause(beatsOfSilence - crashedTime)
		p.w.store.remove("servers/" + r.id)
	}()
}

// answerEvents answers with a stream of events.
func answerEvents(r *replica, rw http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(attemptID)
	r.addRun(id)
	pause(20 * time.Millisecond)
	rw.Header().Set(signature, "sig."+r.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(word.Confidence, "95")
	for i := 1; i <= 6; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		pause(10 * time.Millisecond)
	}
}

// playPoison sends sound requests and, with trouble, others with a part that crashes replicas.
func playPoison(w *world) ([]string, error) {
	p := &poisonCase{w: w}
	for i := range poisonReplicas {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), drafting, "v1", p.answer); err != nil {
			return nil, err
		}
	}
	w.putConfig(1, streamRoute(resumablePrefix, true), streamRoute(oncePrefix, false))
	if err := w.startEdges(poisonEdges); err != nil {
		return nil, err
	}
	pause(time.Second)
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
	loop(soundPerS, func() {
		p.mu.Lock()
		n++
		i := n
		p.mu.Unlock()
		second := fmt.Sprintf("%08x", 0x91000000+i%soundParts)
		sent, prefix, id := time.Now(), resumablePrefix, fmt.Sprintf("s%015d", i)
		if i%4 == 0 {
			prefix = oncePrefix
		}
		got := w.sendPrompt(prefix, id, fmt.Sprintf("5c1e07a%d:800,%s:410,%08x:250", i/4%soundFirst, second, i))
		isWhole := got.status == http.StatusOK && got.err == nil
		p.mu.Lock()
		defer p.mu.Unlock()
		p.results = append(p.results, soundResult{sent, prefix == resumablePrefix, got.status == http.StatusOK, prefix == oncePrefix && !isWhole && w.runsOf(id) > 0})
	})
	pause(calmTime)
	began := time.Now()
	if w.trouble {
		loop(poisonPerS, func() {
			p.mu.Lock()
			m++
			i := m
			p.mu.Unlock()
			prefix := fmt.Sprintf("5c1e07a0:800,%s:410,%08x:250", poisonPart, 0x10000000+i)
			w.sendPrompt(resumablePrefix, fmt.Sprintf("p%015d", i), prefix)
		})
	}
	pause(poisonTime)
	close(stop)
	running.Wait()
	return p.judge(began), nil
}

func (w *world) sendPrompt(target, id, prefix string) outcome {
	header := requestHeader(id, "10000")
	header[word.Model] = "daka510000"
	header[word.Tokens] = "1460,80"
	header[word.Prompt] = prefix
	e := w.edges[rand.IntN(len(w.edges))]
	w.record.add("a client sends %s to %s", id, e.name)
	got := sendOnce(e.frontend, http.MethodPost, target+"2f", "prompt", header, 12*time.Second)
	w.record.add("the client gets for %s: %v", id, got)
	return got
}

// judge returns the rules that were broken.
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
	var before, after, beganBefore, beganAfter, lost int
	perSecond := map[int][2]int{}
	for _, r := range p.results {
		s := perSecond[int(r.sent.Sub(began).Seconds())]
		s[0]++
		if r.began {
			s[1]++
		}
		perSecond[int(r.sent.Sub(began).Seconds())] = s
		if r.lost && !from.IsZero() && r.sent.After(from.Add(connectTime)) {
			lost++
		}
		switch {
		case !r.hasRoute:
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
	text := fmt.Sprintf("%d crashes, the fifth %.1f s after the first request; %d requests reached replicas later than 3 s after it; sound requests that began at the first attempt: %d of %d before, %d of %d later than 6 s after it; %d streams of others that may run once were sent later than 3 s after it, ran and were lost",
		len(p.crashes), from.Sub(began).Seconds(), late, beganBefore, before, beganAfter, after, lost)
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
