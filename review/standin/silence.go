package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["silence"] = playSilence
}

const (
	// loadedPause is how long each replica sends nothing in the middle of a stream. It is more than the sheet's 1.2 s, which
	// makes the answer late, and much less than the 9.6 s after which a client abandons it.
	loadedPause = 2700 * time.Millisecond
	// stopDelay is the time from the start of the streams to the planned stop of their instance.
	stopDelay     = 2 * time.Second
	silentStreams = 6
	streamEvents  = 6
)

// playSilence stops an instance as planned while streams pause at loaded replicas. With trouble, one of three replicas has
// been emptied and taken away before.
func playSilence(w *world) ([]string, error) {
	var drained *replica
	for i := range 3 {
		r, err := w.newReplica(fmt.Sprintf("i-%d", i), drafting, "v1", answerPausing)
		if err != nil {
			return nil, err
		}
		drained = r
	}
	w.putConfig(1, streamRoute("/lohu930/", true))
	if err := w.startEdges(2); err != nil {
		return nil, err
	}
	if w.trouble {
		w.scaleIn(drained)
	}
	pause(3 * time.Second)
	stopped := w.edges[0]
	outcomes := make([]outcome, silentStreams)
	var running sync.WaitGroup
	began := time.Now()
	for i := range outcomes {
		running.Go(func() { outcomes[i] = w.sendStream(stopped, i) })
	}
	pause(stopDelay)
	stopped.signal(syscall.SIGTERM)
	signalled := time.Now()
	running.Wait()
	w.record.add("all streams have ended %.1f s after their start, %.1f s after SIGTERM", time.Since(began).Seconds(), time.Since(signalled).Seconds())
	var breaches []string
	for i, got := range outcomes {
		if got.err != nil {
			breaches = append(breaches, fmt.Sprintf("LOST: the stream %s was cut while its instance stopped as planned: %v", streamID(i), got))
		}
	}
	return breaches, nil
}

func streamID(i int) string {
	return fmt.Sprintf("s%015d", i)
}

// scaleIn empties the replica and takes it away.
func (w *world) scaleIn(r *replica) {
	w.record.add("%s is draining", r.id)
	w.store.put("servers/"+r.id, r.entry("draining"))
	pause(3 * time.Second)
	w.store.remove("servers/" + r.id)
	r.stop()
	w.record.add("%s has left", r.id)
}

func (w *world) sendStream(e *edge, i int) outcome {
	id := streamID(i)
	header := requestHeader(id, "10000")
	header[word.Model] = "daka510000"
	header[word.Tokens] = "1460,80"
	header[word.Prompt] = fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", i)
	w.record.add("a client sends %s to %s", id, e.name)
	got := sendOnce(e.frontend, http.MethodPost, "/lohu930/2f", "prompt", header, 12*time.Second)
	w.record.add("the client gets for %s: %v", id, got)
	return got
}

// answerPausing answers with a stream that pauses once, and resumes after the event that the request names.
func answerPausing(r *replica, rw http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(attemptID)
	last := 0
	// Without the header the stream starts at its first event.
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
	r.addRun(id)
	rw.Header().Set(signature, "sig."+r.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(word.WeightVersions, "1")
	for i := last + 1; i <= streamEvents; i++ {
		if i == last+2 {
			select {
			case <-time.After(loadedPause):
			case <-q.Context().Done():
				r.record.add("%s finds the connection of %s closed while it works on it", r.id, id)
				return
			}
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
	r.record.add("%s has answered %s whole", r.id, id)
}
