package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	scenarios["moved"] = playMoved
}

const (
	// movedSlack is how long the replica before may still work on a request that goes on at another one.
	movedSlack   = 400 * time.Millisecond
	movedStreams = 6
	// usualPause is the pause of a replica that isn't loaded.
	usualPause = 100 * time.Millisecond
)

// work is the time for which a replica works on a request.
type work struct {
	replica     string
	from, until time.Time
}

// movedCase holds which replicas worked on which requests when.
type movedCase struct {
	w     *world
	pause time.Duration

	mu    sync.Mutex
	works map[string][]work
}

// answer answers with a stream that pauses once. The replica notices that the connection was closed when it writes the next
// event.
func (c *movedCase) answer(r *replica, rw http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(attemptID)
	last := 0
	// Without the header the stream starts at its first event.
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
	began := time.Now()
	r.addRun(id)
	rw.Header().Set(signature, "sig."+r.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Endivehitch-Weight-Versions", "1")
	for i := last + 1; i <= streamEvents; i++ {
		if i == last+2 {
			time.Sleep(c.pause)
		}
		if q.Context().Err() != nil {
			break
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			break
		}
		rw.(http.Flusher).Flush()
	}
	r.record.add("%s works on %s no more", r.id, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.works[id] = append(c.works[id], work{r.id, began, time.Now()})
}

// playMoved sends streams that may be resumed. With trouble, replicas pause in the middle of them.
func playMoved(w *world) ([]string, error) {
	c := &movedCase{w: w, pause: usualPause, works: make(map[string][]work)}
	if w.trouble {
		c.pause = loadedPause
	}
	for i := range 3 {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), drafting, "v1", c.answer); err != nil {
			return nil, err
		}
	}
	w.putConfig(1, streamRoute("/lohu930/", true))
	if err := w.startEdges(2); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var running sync.WaitGroup
	for i := range movedStreams {
		running.Go(func() { w.sendStream(w.edges[i%2], i) })
	}
	running.Wait()
	time.Sleep(loadedPause)
	c.mu.Lock()
	defer c.mu.Unlock()
	var breaches []string
	for id, works := range c.works {
		for _, before := range works {
			for _, after := range works {
				if over := before.until.Sub(after.from); before.replica != after.replica && before.from.Before(after.from) && over > movedSlack {
					breaches = append(breaches, fmt.Sprintf("TWICE: %s goes on at %s, while %s still works on it %.2f s later", id, after.replica, before.replica, over.Seconds()))
				}
			}
		}
	}
	return breaches, nil
}
