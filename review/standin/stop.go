package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["stop"] = playStop
}

const (
	stopEdges = 7
	// stopClients is the number of clients, each of which keeps a connection and uses it again after shortIdle to longIdle,
	// which is four fifths of the configuration's limit.
	stopClients = 1400
	shortIdle   = 4 * time.Second
	longIdle    = 12 * time.Second
	// stopLength is how long machines are stopped in turn, each a gap after the one before.
	stopLength = 80 * time.Second
	stopGap    = 2 * time.Second
	// busyPerCore is the number of processes that keep each core busy: the machines of the deployment have a share of one.
	busyPerCore = 4
	// The core's share is a quota: it runs for quotaRun of each tenth of a second, and then not at all.
	quotaRun    = 40 * time.Millisecond
	quotaPeriod = 100 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

// stopCase holds what the clients of a case of planned stops see.
type stopCase struct {
	w    *world
	stop chan struct{}

	mu sync.Mutex
	// inRotation holds the instances to which the platform forwards new connections.
	inRotation []*edge
	sent       int
	breaches   []string
}

// playStop stops machines in turn, as planned, while clients use kept connections.
func playStop(w *world) ([]string, error) {
	for i := range 3 {
		r, err := w.newReplica(fmt.Sprintf("i-%d", i), reorder, "v1", answerWorking)
		if err != nil {
			return nil, err
		}
		r.slots = 6
	}
	w.putConfig(1, plainRoute("/puxa403/", "unsafe", 1))
	if err := w.startEdges(stopEdges); err != nil {
		return nil, err
	}
	c := &stopCase{w: w, stop: make(chan struct{}), inRotation: slices.Clone(w.edges)}
	var running sync.WaitGroup
	for range busyPerCore * runtime.NumCPU() {
		if err := w.startBusyProcess(); err != nil {
			return nil, err
		}
	}
	for _, e := range w.edges {
		running.Go(func() { c.limitCore(e) })
		running.Go(func() { c.askReadiness(e) })
	}
	for i := range stopClients {
		running.Go(func() { c.runClient(i) })
	}
	err := c.stopInTurn()
	close(c.stop)
	running.Wait()
	w.record.add("%d requests sent", c.sent)
	return c.breaches, err
}

// answerWorking answers after the usual time of work.
func answerWorking(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(attemptID)
	r.addRun(id)
	select {
	case <-time.After(60 * time.Millisecond):
	case <-q.Context().Done():
		r.record.add("%s finds the connection of %s closed while it works on it", r.id, id)
		return
	}
	w.Header().Set(signature, "sig."+r.id)
	w.Header().Set("Keep-Alive", "timeout=5")
	_, _ = w.Write([]byte("answer to " + id))
}

// wait reports whether the time has passed before the end of the case.
func (c *stopCase) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.stop:
		return false
	}
}

// limitCore makes the process run for its quota of each tenth of a second.
func (c *stopCase) limitCore(e *edge) {
	for c.wait(quotaRun) {
		e.signalQuietly(syscall.SIGSTOP)
		c.wait(quotaPeriod - quotaRun)
		e.signalQuietly(syscall.SIGCONT)
	}
}

// askReadiness takes the instance out of the rotation after two misses, and in again once it is ready.
func (c *stopCase) askReadiness(e *edge) {
	misses := 0
	for c.wait(time.Second) {
		if e.isReady() {
			misses = 0
		} else {
			misses++
		}
		c.mu.Lock()
		i := slices.Index(c.inRotation, e)
		switch {
		case misses >= 2 && i >= 0:
			c.inRotation = slices.Delete(slices.Clone(c.inRotation), i, i+1)
		case misses == 0 && i < 0:
			c.inRotation = append(slices.Clone(c.inRotation), e)
		}
		c.mu.Unlock()
	}
}

// stopInTurn stops one machine after the other; each is started again once it has ended.
func (c *stopCase) stopInTurn() error {
	if !c.wait(longIdle) {
		return nil
	}
	failed := make(chan error, stopEdges)
	var running sync.WaitGroup
	for began, i := time.Now(), 0; time.Since(began) < stopLength && len(failed) == 0; i++ {
		e := c.w.edges[i%len(c.w.edges)]
		if c.w.trouble {
			running.Go(func() {
				if err := e.restart(); err != nil {
					failed <- err
				}
			})
		}
		c.wait(stopGap)
	}
	running.Wait()
	close(failed)
	return <-failed
}

// restart stops the process as planned and starts it again once it has ended.
func (e *edge) restart() error {
	e.setStopping(time.Now())
	e.signal(syscall.SIGTERM)
	if !await(9*time.Second, e.hasExited) {
		return fmt.Errorf("%s hasn't ended 9 s after SIGTERM", e.name)
	}
	pause(restartDelay)
	return e.start()
}

func (c *stopCase) pickEdge() *edge {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inRotation) == 0 {
		return nil
	}
	return c.inRotation[rand.IntN(len(c.inRotation))]
}

// runClient sends requests on a kept connection, and on a new one after that is closed.
func (c *stopCase) runClient(i int) {
	if !c.wait(time.Duration(rand.Int64N(int64(longIdle)))) {
		return
	}
	var conn *connection
	var e *edge
	for n := 0; ; n++ {
		if conn != nil && !conn.isOpen() {
			conn.close()
			conn = nil
		}
		if conn == nil {
			var err error
			if e = c.pickEdge(); e != nil {
				conn, err = dial(e.frontend)
			}
			if e == nil || err != nil {
				conn = nil
				if !c.wait(time.Second) {
					return
				}
				continue
			}
		}
		id := fmt.Sprintf("c%04dn%010d", i, n)
		c.mu.Lock()
		c.sent++
		c.mu.Unlock()
		c.w.record.add("a client sends %s to %s", id, e.name)
		began := time.Now()
		got := conn.send(http.MethodPost, "/puxa403/2f", "order", requestHeader(id, "3000"), 4*time.Second)
		c.w.record.add("the client gets for %s: %v", id, got)
		if got.err != nil || got.status != http.StatusOK || got.header.Get("Connection") == "close" {
			conn.close()
			conn = nil
		}
		if got.err != nil {
			c.judge(e, id, began, got)
		}
		if !c.wait(shortIdle + time.Duration(rand.Int64N(int64(longIdle-shortIdle)))) {
			return
		}
	}
}

// judge decides on a request whose connection ended without an answer.
func (c *stopCase) judge(e *edge, id string, began time.Time, got outcome) {
	// The replica's run may be noted a moment later.
	pause(100 * time.Millisecond)
	stopping, ran := began.Sub(e.stoppingSince()), c.w.runsOf(id)
	c.w.record.add("%s, sent to %s %.3f s after its SIGTERM, gets no answer and has run %d times: %v", id, e.name, stopping.Seconds(), ran, got.err)
	if ran == 0 || stopping > 9*time.Second || strings.Contains(got.err.Error(), "timeout") {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, fmt.Sprintf("LOST: %s was sent to %s %.3f s after its SIGTERM and passed on to a replica, and the connection ended without an answer: %v",
		id, e.name, stopping.Seconds(), got.err))
}

// startBusyProcess starts a process that keeps a core busy.
func (w *world) startBusyProcess() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find own program: %w", err)
	}
	cmd := exec.Command(self, "spin", "now")
	cmd.SysProcAttr = diesWithParent()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start busy process: %w", err)
	}
	w.processes = append(w.processes, &process{id: "busy", cmd: cmd})
	go func() { _ = cmd.Wait() }()
	return nil
}

// spin keeps one core busy until the process is killed, or for two minutes at most.
func spin() {
	runtime.GOMAXPROCS(1)
	end := time.Now().Add(2 * time.Minute)
	for time.Now().Before(end) {
		runtime.KeepAlive(end)
	}
}
