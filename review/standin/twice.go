package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	scenarios["cascade"] = playCascade
}

const (
	cascadeRequests = 10
	streamTarget    = "/lohu930/2f"
	unsafeTarget    = "/puxa403/2f"
)

// playCascade sends requests on two routes that have models of several sizes: one of streams that may not be resumed, and an
// unsafe one. With trouble, the smallest model has a low opinion of its answers.
func playCascade(w *world) ([]string, error) {
	confidence := "95"
	if w.trouble {
		confidence = "10"
	}
	behave := func(r *replica, rw http.ResponseWriter, q *http.Request, _ []byte) {
		id := q.Header.Get(attemptID)
		model := q.Header.Get(word.Model)
		r.addRun(id)
		r.record.add("%s answers %s with model %s", r.id, id, model)
		rw.Header().Set(signature, "sig."+r.id)
		rw.Header().Set(word.WeightVersions, "1")
		rw.Header().Set(word.Confidence, map[bool]string{true: confidence, false: "95"}[model == "m0"])
		if q.URL.Path == unsafeTarget {
			// An error means that the router has closed the connection.
			_, _ = fmt.Fprintf(rw, "order %s is placed", id)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 6; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
				return
			}
			rw.(http.Flusher).Flush()
			pause(10 * time.Millisecond)
		}
	}
	for i := range 3 {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), drafting, "v1", behave); err != nil {
			return nil, err
		}
	}
	unsafe := plainRoute("/puxa403/", "unsafe", 3)
	unsafe["backend"], unsafe["sizeClasses"] = drafting, []string{"m0", "m1", "m2"}
	w.putConfig(1, streamRoute("/lohu930/", false, "m0", "m1", "m2"), unsafe)
	if err := w.startEdges(2); err != nil {
		return nil, err
	}
	var breaches []string
	for i := range 2 * cascadeRequests {
		target := streamTarget
		if i >= cascadeRequests {
			target = unsafeTarget
		}
		id := fmt.Sprintf("q%015d", i)
		header := requestHeader(id, "10000")
		header[word.Model] = "*"
		header[word.Tokens] = "1460,80"
		header[word.Prompt] = fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", i)
		w.record.add("a client sends %s to %s on %s", id, w.edges[i%2].name, target)
		got := sendOnce(w.edges[i%2].frontend, http.MethodPost, target, "prompt", header, 12*time.Second)
		w.record.add("the client gets for %s: %v", id, got)
		if got.err != nil || got.status != http.StatusOK {
			return breaches, fmt.Errorf("request %s: %v", id, got)
		}
		if n := w.runsOf(id); n > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s on %s isn't idempotent and ran %d times", id, target, n))
		}
	}
	return breaches, nil
}

// runsOf returns how often the request ran at all replicas.
func (w *world) runsOf(id string) int {
	n := 0
	for _, r := range w.replicas {
		n += r.runsOf(id)
	}
	return n
}
