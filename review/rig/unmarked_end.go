package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The streams and the times of the case of the unmarked end.
const (
	streamEvents = 40
	eventPause   = 150 * time.Millisecond
	streams      = 36
	engineCount  = 6
	freezeAfter  = 1500 * time.Millisecond
	crashAfter   = 200 * time.Millisecond
	restartAfter = 1400 * time.Millisecond
	thawAfter    = 300 * time.Millisecond
)

// runStreamServer is the process of an engine: its answers are streams that end with their connection.
func runStreamServer(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	events, err := strconv.Atoi(args[2])
	if err != nil {
		return fmt.Errorf("number of events: %w", err)
	}
	l, err := net.Listen("tcp", args[0])
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go streamTo(conn, args[1], events)
	}
}

// streamTo answers the request on the connection with the events after Last-Event-Id.
func streamTo(conn net.Conn, server string, events int) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := req.Header.Get(words.AttemptID)
	if req.Header.Get(words.ExpectedServer) != server {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", words.AttemptID, id, words.NotRun)
		return
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", words.AttemptID, id, words.Signature, server, id)
	fmt.Printf("runs %s after event %d\n", id, last)
	for n := last + 1; n <= events; n++ {
		wait(eventPause)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
	}
	fmt.Printf("ends %s after event %d\n", id, events)
}

// engine is an engine that runs as a process.
type engine struct {
	id, zone, address string
	cmd               *exec.Cmd
}

// startEngine starts an engine at the address, and writes its entry.
func startEngine(p *play, s *store, id, zone, address string) (*engine, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find this program: %w", err)
	}
	e := &engine{id: id, zone: zone, address: address}
	e.cmd = exec.Command(self, "server", address, id, strconv.Itoa(streamEvents))
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("read what an engine writes: %w", err)
	}
	if err := p.processes.start(e.cmd); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.record.note("engine %s %s", id, lines.Text())
		}
	}()
	s.put("servers/"+id, serverEntry(engines, address, zone, engineSlots, time.Now(), 1))
	return e, nil
}

// playUnmarkedEnd suspends an instance for a moment in which an engine crashes and is back, while the instance relays streams
// that end with their connection.
func playUnmarkedEnd(p *play) (int, error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	defer s.close()
	s.put(words.Config, operatorConfig())
	ports, err := freePorts(engineCount)
	if err != nil {
		return 0, err
	}
	var all []*engine
	for i, port := range ports {
		e, err := startEngine(p, s, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], loopback(port))
		if err != nil {
			return 0, err
		}
		all = append(all, e)
	}
	f, err := startFleet(p, s, fleetInstances)
	if err != nil {
		return 0, err
	}
	results := make([]result, streams)
	var calls sync.WaitGroup
	c := newCaller(f.edges[0])
	for i := range streams {
		calls.Go(func() {
			id := newID()
			p.record.note("a client sends %s to %s", id, c.edge.name)
			results[i] = c.send(call{id: id, method: "POST", path: streamPath + "x", body: "a draft", deadline: 25 * time.Second, header: map[string]string{
				words.Model: "m1", words.Tokens: "1460,120", words.Prompt: fmt.Sprintf("5c1e07a2:800,%s:250", id[:8]),
			}})
			p.record.note("%s answers %s: %d whole=%t with %d events", c.edge.name, id, results[i].status, results[i].isWhole, countEvents(results[i].body))
		})
	}
	wait(freezeAfter)
	if p.trouble {
		if err := crashBehindPause(p, s, f.edges[0], all[0]); err != nil {
			return 0, err
		}
	}
	calls.Wait()
	broken := 0
	for _, r := range results {
		if r.status == http.StatusOK && r.isWhole && countEvents(r.body) < streamEvents {
			broken++
		}
	}
	return broken, nil
}

func countEvents(body string) int { return strings.Count(body, "\n\n") }

// crashBehindPause suspends the instance, kills the engine and starts it again, and lets the instance go on.
func crashBehindPause(p *play, s *store, e *edge, lost *engine) error {
	p.record.note("%s is suspended", e.name)
	if err := e.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("suspend: %w", err)
	}
	wait(crashAfter)
	p.processes.kill(lost.cmd)
	p.record.note("engine %s has crashed", lost.id)
	wait(restartAfter)
	back, err := startEngine(p, s, lost.id, lost.zone, lost.address)
	if err != nil {
		return err
	}
	p.record.note("engine %s is back under its identifier", back.id)
	wait(thawAfter)
	p.record.note("%s goes on", e.name)
	if err := e.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	return nil
}
