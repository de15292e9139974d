package main

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["unframed"] = playUnframed
}

const (
	unframedReplicas = 6
	unframedStreams  = 24
	unframedEvents   = 87
	unframedPause    = 20 * time.Millisecond
)

// serveUnframed is a replica as a process of its own, which answers with streams that have neither a length nor chunks and
// end with their connection. It prints its address and what it runs.
func serveUnframed(id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start replica: %w", err)
	}
	fmt.Println(l.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		answerUnframed(id, rw, q)
	})}
	return server.Serve(l)
}

func answerUnframed(id string, rw http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	request := q.Header.Get(attemptID)
	if q.Header.Get(word.ExpectedReplica) != id {
		rw.Header().Set(attemptID, request)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last := 0
	// Without the header the stream starts at its first event.
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fmt.Printf("%s runs %s after event %d\n", id, request, last)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: sig.%s\r\n%s: 1\r\n\r\n",
		attemptID, request, signature, id, word.WeightVersions)
	for i := last + 1; i <= unframedEvents && err == nil; i++ {
		pause(unframedPause)
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", i, i, request)
	}
	if err == nil {
		fmt.Printf("%s has answered %s whole\n", id, request)
	}
}

// process is a replica that runs as a process.
type process struct {
	id      string
	address string
	cmd     *exec.Cmd

	mu sync.Mutex
	// running counts the streams that the replica works on.
	running int
}

// observe takes in a line that the replica has printed.
func (p *process) observe(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case strings.Contains(line, " runs "):
		p.running++
	case strings.Contains(line, " has answered "):
		p.running--
	}
}

func (p *process) load() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (w *world) startReplicaProcess(id string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find own program: %w", err)
	}
	cmd := exec.Command(self, "serve-unframed", id)
	cmd.SysProcAttr = diesWithParent()
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", id, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", id, err)
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("replica has printed no address")
	}
	p := &process{id: id, address: lines.Text(), cmd: cmd}
	go func() {
		for lines.Scan() {
			p.observe(lines.Text())
			w.record.add("%s", lines.Text())
		}
		_ = cmd.Wait()
	}()
	w.processes = append(w.processes, p)
	w.store.put("servers/"+id, map[string]any{
		"backend": drafting, "address": p.address, "zone": zoneNames[len(w.processes)%len(zoneNames)], "version": "v1", "capacitySlots": 64,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return p, nil
}

func (p *process) kill() {
	// It fails only if the process has ended already.
	_ = p.cmd.Process.Kill()
}

// playUnframed sends long streams to replicas whose answers end with their connections. With trouble, one of six replicas
// crashes meanwhile.
func playUnframed(w *world) ([]string, error) {
	for i := range unframedReplicas {
		if _, err := w.startReplicaProcess(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}
	w.putConfig(1, streamRoute("/lohu930/", true))
	if err := w.startEdges(2); err != nil {
		return nil, err
	}
	pause(time.Second)
	outcomes := make([]outcome, unframedStreams)
	var running sync.WaitGroup
	for i := range outcomes {
		running.Go(func() { outcomes[i] = w.sendStream(w.edges[i%2], i) })
	}
	pause(800 * time.Millisecond)
	if w.trouble {
		victim := slices.MaxFunc(w.processes, func(a, b *process) int { return cmp.Compare(a.load(), b.load()) })
		w.record.add("%s is killed while it works on %d streams", victim.id, victim.load())
		victim.kill()
	}
	running.Wait()
	var breaches []string
	for i, got := range outcomes {
		if got.err != nil || got.status != http.StatusOK {
			continue
		}
		if n := countPieces(got.body, streamID(i)); n < unframedEvents {
			breaches = append(breaches, fmt.Sprintf("ORDER: the stream %s looks complete, but has %d of %d pieces", streamID(i), n, unframedEvents))
		}
	}
	return breaches, nil
}

// countPieces returns how many pieces of the request's stream came, in order from the first one.
func countPieces(body []byte, id string) int {
	n := 0
	for line := range bytes.Lines(body) {
		if strings.TrimSpace(string(line)) == "data: piece "+strconv.Itoa(n+1)+" of "+id {
			n++
		}
	}
	return n
}
