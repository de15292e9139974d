package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The crowd and the ordinary callers of the case of the crowd.
const (
	// crowdSize leaves 40 of the 2,340 connections that an instance of these settings allows.
	crowdSize      = 2300
	crowdReturn    = 50 * time.Millisecond
	crowdHeadStart = 3 * time.Second
	crowdTime      = 40 * time.Second
	orderingCount  = 600
	orderDeadline  = 3 * time.Second
	orderCallWork  = 15 * time.Millisecond
)

// playCrowd lets callers outside the operator's control hold connections with bodies that don't end, while ordinary callers
// send orders, and looks for orders that were refused as not run and have run.
func playCrowd(p *play) (int, error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	defer s.close()
	s.put(words.Config, operatorConfig())
	var servers []*deskServer
	for i := range 3 {
		d, err := startDesk(p, s, fmt.Sprintf("i-%d", i+1), zones[i], orderCallWork, "")
		if err != nil {
			return 0, err
		}
		servers = append(servers, d)
	}
	f, err := startFleet(p, s, 1)
	if err != nil {
		return 0, err
	}
	end := make(chan struct{})
	var callers sync.WaitGroup
	if p.trouble {
		for range crowdSize {
			callers.Go(func() { holdConnections(f.edges[0], end) })
		}
		p.record.note("%d callers hold connections with bodies that don't end", crowdSize)
	}
	wait(crowdHeadStart)
	t := &orderTaker{edge: f.edges[0], record: p.record, attempts: make(map[string]orderAttempt)}
	for range orderingCount {
		callers.Go(func() { t.sendOrders(end) })
	}
	wait(crowdTime)
	close(end)
	callers.Wait()
	return t.check(servers), nil
}

// holdConnections keeps one connection open with a chunked body that stops short of its end, and comes back once it is refused.
func holdConnections(e *edge, end <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", e.front, time.Second)
		if err == nil {
			holdConnection(conn, end)
		}
		select {
		case <-end:
			return
		case <-time.After(crowdReturn):
		}
	}
}

func holdConnection(conn net.Conn, end <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n"+
		"Authorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n", safePath, host, words.AttemptID, newID(), words.Deadline, tenantKey)
	if err != nil {
		return
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-answered:
	case <-end:
	}
}

// orderTaker counts the orders of ordinary callers, which wait as they are told and retry once after a promise.
type orderTaker struct {
	edge     *edge
	record   *record
	mu       sync.Mutex
	attempts map[string]orderAttempt
	statuses [600]int
	failed   int
}

// orderAttempt is one attempt of a client to place an order.
type orderAttempt struct {
	order  string
	status int
	text   string
}

func (t *orderTaker) sendOrders(end <-chan struct{}) {
	var c keptConn
	defer c.close()
	for {
		select {
		case <-end:
			return
		default:
		}
		order := newID()
		retryAfter, isRefused := t.attempt(&c, order, orderDeadline)
		if !isRefused {
			continue
		}
		pause := min(retryAfter, orderDeadline/3)
		wait(pause)
		// Clients retry on a new connection.
		c.close()
		t.attempt(&c, order, orderDeadline-pause)
	}
}

// attempt sends the order once, under an identifier of its own. It reports whether the answer promises that it hasn't run, and
// the time after which to come back.
func (t *orderTaker) attempt(c *keptConn, order string, left time.Duration) (time.Duration, bool) {
	id := newID()
	resp, text, err := c.post(t.edge, id, order, left)
	if err != nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[id] = orderAttempt{order: order, status: resp.StatusCode, text: text}
	t.statuses[resp.StatusCode]++
	if resp.StatusCode != http.StatusOK {
		t.record.note("attempt %s of order %s is answered %d", id, order, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0, false
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), true
}

// check counts the attempts that were answered 503 and have run.
func (t *orderTaker) check(servers []*deskServer) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken, runs := 0, make(map[string]int)
	for _, d := range servers {
		for _, a := range d.received() {
			sent, ok := t.attempts[a.id]
			runs[sent.order]++
			if ok && sent.status == http.StatusServiceUnavailable {
				broken++
				t.record.note("attempt %s of order %s ran at %s and was answered 503 %q", a.id, sent.order, d.id, sent.text)
			}
		}
	}
	delete(runs, "")
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	t.record.note("%d orders were answered 200 and %d attempts 503; %d attempts that were answered 503 have run, and %d orders ran twice",
		t.statuses[http.StatusOK], t.statuses[http.StatusServiceUnavailable], broken, twice)
	return broken
}

// keptConn is a client's connection, which it keeps for many requests.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *keptConn) post(e *edge, id, body string, left time.Duration) (*http.Response, string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", e.front, time.Second)
		if err != nil {
			return nil, "", fmt.Errorf("connect: %w", err)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(left))
	_, err := fmt.Fprintf(c.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", unsafePath, host, words.AttemptID, id, words.Deadline, left.Milliseconds(), tenantKey, len(body), body)
	if err != nil {
		c.close()
		return nil, "", fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return nil, "", fmt.Errorf("read answer: %w", err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	if err != nil {
		return nil, "", fmt.Errorf("read answer: %w", err)
	}
	return resp, strings.TrimSpace(string(text)), nil
}

func (c *keptConn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
