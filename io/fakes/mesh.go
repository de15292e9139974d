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

// Delivery is how a Mesh treats one message between instances; the zero value delivers it at once.
type Delivery struct {
	// Delay is the time before the message arrives.
	Delay time.Duration
	// Unsent makes a call fail before anything is sent, and drops a reply.
	Unsent bool
	// LoseRequest drops the message itself, LoseReply the reply to it; either way the caller waits
	// until its context ends.
	LoseRequest bool
	LoseReply   bool
	// Duplicate delivers the request twice; the caller gets the second reply.
	Duplicate bool
}

// Mesh is an in-memory transport between instances.
type Mesh struct {
	chooseDelivery policy.Cell[func(from, to value.Instance) Delivery]
	ports          sync.Map
	meter          sizeMeter
	// inFlight counts the calls that have not been handled completely.
	inFlight sync.WaitGroup
}

// Port is one instance's endpoint on a Mesh; it implements peer.Caller and peer.Registrar.
type Port struct {
	mesh    *Mesh
	self    value.Instance
	methods sync.Map
	paused  policy.Cell[chan struct{}]
	sent    policy.Cell[Traffic]
}

// Traffic is the number and size of the messages that an instance sent, replies included.
type Traffic struct {
	Messages int
	Bytes    int
}

// frameOverhead is the estimated size of one message's net/rpc, TLS and TCP headers in bytes.
const frameOverhead = 120

// SetDelivery makes the function choose the delivery of each message from now on. It must be pure,
// since calls run concurrently.
func (m *Mesh) SetDelivery(choose func(from, to value.Instance) Delivery) {
	m.chooseDelivery.Update(func(func(from, to value.Instance) Delivery) func(from, to value.Instance) Delivery { return choose })
}

// Join returns a port that receives the calls to the instance's peer address.
func (m *Mesh) Join(self value.Instance) *Port {
	p := &Port{mesh: m, self: self}
	m.ports.Store(self.PeerAddress, p)
	return p
}

// Remove makes the address unreachable.
func (m *Mesh) Remove(address string) {
	m.ports.Delete(address)
}

// Drain waits until no call is in flight.
func (m *Mesh) Drain() {
	m.inFlight.Wait()
}

// Pause makes incoming and outgoing calls wait until Resume, as those of a stopped process do.
func (p *Port) Pause() {
	p.paused.Update(func(previous chan struct{}) chan struct{} {
		if previous != nil {
			// Already paused; calls may be waiting on this channel.
			return previous
		}
		return make(chan struct{})
	})
}

// Resume lets waiting calls continue.
func (p *Port) Resume() {
	var resumed chan struct{}
	p.paused.Update(func(current chan struct{}) chan struct{} {
		// Of two concurrent calls only one gets the channel, so that it is closed once.
		resumed = current
		return nil
	})
	if resumed != nil {
		close(resumed)
	}
}

// Sent returns what the instance has sent so far.
func (p *Port) Sent() Traffic {
	return p.sent.Get()
}

// Register makes the receiver's methods callable under the name.
func (p *Port) Register(name string, receiver any) error {
	if _, taken := p.methods.LoadOrStore(name, receiver); taken {
		return fmt.Errorf("register methods %s: already registered", name)
	}
	return nil
}

type meshReply struct {
	reply reflect.Value
	err   error
}

// Call implements peer.Caller.
func (p *Port) Call(ctx context.Context, to value.Instance, method string, args, reply any) error {
	p.waitWhilePaused()
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
	target, ok := p.mesh.ports.Load(to.PeerAddress)
	delivery := p.mesh.deliveryOf(p.self, to)
	if !ok || delivery.Unsent {
		return fmt.Errorf("call to %s: %w", to.PeerAddress, peer.ErrUnreachable)
	}
	p.countSent(method, args)
	answered := make(chan meshReply, 2)
	if !delivery.LoseRequest {
		p.mesh.inFlight.Go(func() {
			target.(*Port).deliver(p, delivery, method, args, reflect.TypeOf(reply).Elem(), answered)
		})
	}
	defer p.waitWhilePaused()
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

func (p *Port) deliver(from *Port, delivery Delivery, method string, args any, reply reflect.Type, answered chan<- meshReply) {
	delay(delivery.Delay)
	p.waitWhilePaused()
	r := p.invoke(method, args, reply)
	if delivery.Duplicate {
		r = p.invoke(method, args, reply)
	}
	p.waitWhilePaused()
	replyDelivery := p.mesh.deliveryOf(p.self, from.self)
	p.countSent(method, r.reply.Interface())
	delay(replyDelivery.Delay)
	if !delivery.LoseReply && !replyDelivery.LoseRequest && !replyDelivery.Unsent {
		answered <- r
	}
}

func (p *Port) invoke(method string, args any, reply reflect.Type) meshReply {
	r := meshReply{reply: reflect.New(reply)}
	lastDot := strings.LastIndex(method, ".")
	receiver, ok := p.methods.Load(method[:lastDot])
	if !ok {
		r.err = errors.New("call of unregistered method: " + method)
		return r
	}
	out := reflect.ValueOf(receiver).MethodByName(method[lastDot+1:]).Call([]reflect.Value{reflect.ValueOf(args), r.reply})
	if err, ok := out[0].Interface().(error); ok {
		r.err = fmt.Errorf("remote: %w", err)
	}
	return r
}

func delay(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

func (p *Port) waitWhilePaused() {
	if paused := p.paused.Get(); paused != nil {
		<-paused
	}
}

func (p *Port) countSent(method string, body any) {
	size := p.mesh.meter.measure(method, body) + frameOverhead
	p.sent.Update(func(t Traffic) Traffic { return Traffic{Messages: t.Messages + 1, Bytes: t.Bytes + size} })
}

func (m *Mesh) deliveryOf(from, to value.Instance) Delivery {
	choose := m.chooseDelivery.Get()
	if choose == nil {
		return Delivery{}
	}
	return choose(from, to)
}

// sizeMeter measures the gob encoding of messages without their type descriptions, as on a
// connection that has carried messages of these types before.
type sizeMeter struct {
	mu       sync.Mutex
	encoders map[string]*gob.Encoder
	bytes    int
}

func (m *sizeMeter) measure(method string, body any) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.encoders == nil {
		m.encoders = make(map[string]*gob.Encoder)
	}
	key := method + reflect.TypeOf(body).String()
	encoder, ok := m.encoders[key]
	if !ok {
		encoder = gob.NewEncoder(m)
		m.encoders[key] = encoder
		// The first encoding includes the type descriptions, which are not to be counted.
		_ = encoder.Encode(body)
	}
	before := m.bytes
	_ = encoder.Encode(body)
	return m.bytes - before
}

// Write counts the bytes of the encoder's output.
func (m *sizeMeter) Write(b []byte) (int, error) {
	m.bytes += len(b)
	return len(b), nil
}
