package fakes

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// Fate is what becomes of one message between instances; the zero value delivers it at once.
type Fate struct {
	Delay time.Duration
	// Unsent refuses the call before anything goes out.
	Unsent bool
	// LoseRequest and LoseReply let the caller wait in vain.
	LoseRequest bool
	LoseReply   bool
	// Duplicate runs the method twice.
	Duplicate bool
}

// Mesh is a transport in memory among instances.
type Mesh struct {
	fate  policy.Cell[func(from, to value.Instance) Fate]
	ports sync.Map
	size  meter
	// underWay counts the messages that have not arrived.
	underWay sync.WaitGroup
}

// Port is one instance's end of a Mesh; it implements peer.Caller and peer.Registrar.
type Port struct {
	mesh    *Mesh
	self    value.Instance
	methods sync.Map
	paused  policy.Cell[chan struct{}]
	sent    policy.Cell[Traffic]
}

// Traffic counts what an instance sent, replies included.
type Traffic struct {
	Messages int
	Bytes    int
}

// frameBytes stands for the headers of net/rpc, TLS and TCP of one message.
const frameBytes = 120

// Set lets the pure function decide each message's fate from now on.
func (m *Mesh) Set(fate func(from, to value.Instance) Fate) {
	m.fate.Update(func(func(from, to value.Instance) Fate) func(from, to value.Instance) Fate { return fate })
}

// Join returns the instance's port; its address is now taken by it.
func (m *Mesh) Join(self value.Instance) *Port {
	p := &Port{mesh: m, self: self}
	m.ports.Store(self.PeerAddress, p)
	return p
}

// Remove makes the address unreachable.
func (m *Mesh) Remove(address string) {
	m.ports.Delete(address)
}

// Drain waits until no message is under way.
func (m *Mesh) Drain() {
	m.underWay.Wait()
}

// Pause stops the port, as a stopped process: calls in and out wait until Resume.
func (p *Port) Pause() {
	p.paused.Update(func(was chan struct{}) chan struct{} {
		if was != nil {
			// Calls that stand still already wait on this channel.
			return was
		}
		return make(chan struct{})
	})
}

// Resume lets waiting calls go on.
func (p *Port) Resume() {
	var was chan struct{}
	p.paused.Update(func(now chan struct{}) chan struct{} {
		// Of two that resume at once only one finds the channel.
		was = now
		return nil
	})
	if was != nil {
		close(was)
	}
}

// Sent returns the traffic so far.
func (p *Port) Sent() Traffic {
	return p.sent.Get()
}

// Register offers the receiver's methods under the name.
func (p *Port) Register(name string, receiver any) error {
	if _, taken := p.methods.LoadOrStore(name, receiver); taken {
		return fmt.Errorf("methods %s are registered twice", name)
	}
	return nil
}

type meshReply struct {
	reply reflect.Value
	err   error
}

// Call implements peer.Caller.
func (p *Port) Call(ctx context.Context, to value.Instance, method string, args, reply any) error {
	p.standStill()
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
	far, ok := p.mesh.ports.Load(to.PeerAddress)
	fate := p.mesh.decide(p.self, to)
	if !ok || fate.Unsent {
		return fmt.Errorf("no instance at %s: %w", to.PeerAddress, peer.ErrUnreachable)
	}
	p.count(method, args)
	answered := make(chan meshReply, 2)
	if !fate.LoseRequest {
		p.mesh.underWay.Go(func() {
			far.(*Port).deliver(p, fate, method, args, reflect.TypeOf(reply).Elem(), answered)
		})
	}
	defer p.standStill()
	select {
	case r := <-answered:
		if r.err == nil {
			reflect.ValueOf(reply).Elem().Set(r.reply.Elem())
		}
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("await reply: %w", ctx.Err())
	}
}

func (p *Port) deliver(from *Port, fate Fate, method string, args any, reply reflect.Type, answered chan<- meshReply) {
	linger(fate.Delay)
	p.standStill()
	r := p.run(method, args, reply)
	if fate.Duplicate {
		r = p.run(method, args, reply)
	}
	p.standStill()
	back := p.mesh.decide(p.self, from.self)
	p.count(method, r.reply.Interface())
	linger(back.Delay)
	if !fate.LoseReply && !back.LoseRequest && !back.Unsent {
		answered <- r
	}
}

func (p *Port) run(method string, args any, reply reflect.Type) meshReply {
	r := meshReply{reply: reflect.New(reply)}
	dot := strings.LastIndex(method, ".")
	receiver, ok := p.methods.Load(method[:dot])
	if !ok {
		r.err = errors.New("no such method: " + method)
		return r
	}
	out := reflect.ValueOf(receiver).MethodByName(method[dot+1:]).Call([]reflect.Value{reflect.ValueOf(args), r.reply})
	if err, ok := out[0].Interface().(error); ok {
		r.err = fmt.Errorf("remote: %w", err)
	}
	return r
}

func linger(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

func (p *Port) standStill() {
	if paused := p.paused.Get(); paused != nil {
		<-paused
	}
}

func (p *Port) count(method string, body any) {
	size := p.mesh.size.measure(method, body) + frameBytes
	p.sent.Update(func(t Traffic) Traffic { return Traffic{Messages: t.Messages + 1, Bytes: t.Bytes + size} })
}

func (m *Mesh) decide(from, to value.Instance) Fate {
	fate := m.fate.Get()
	if fate == nil {
		return Fate{}
	}
	return fate(from, to)
}

// meter measures encoded messages as on a connection that has seen their types before.
type meter struct {
	mu    sync.Mutex
	types map[string]*gob.Encoder
	bytes int
}

func (m *meter) measure(method string, body any) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.types == nil {
		m.types = make(map[string]*gob.Encoder)
	}
	key := method + reflect.TypeOf(body).String()
	encoder, ok := m.types[key]
	if !ok {
		encoder = gob.NewEncoder(m)
		m.types[key] = encoder
		_ = encoder.Encode(body)
	}
	before := m.bytes
	_ = encoder.Encode(body)
	return m.bytes - before
}

// Write counts the encoder's output.
func (m *meter) Write(b []byte) (int, error) {
	m.bytes += len(b)
	return len(b), nil
}
