package fakes

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// List is an instance list that shows each change after a lag.
type List struct {
	Lag     time.Duration
	current policy.Cell[listed]
}

type listed struct {
	servers   policy.Table[value.ServerID, value.BackendServer]
	instances policy.Table[value.InstanceID, value.Instance]
	away      bool
}

// SetServer lists the backend server as given, once the lag has passed.
func (l *List) SetServer(b value.BackendServer) {
	l.later(func(v listed) listed { v.servers = v.servers.With(b.ID, b); return v })
}

// DropServer takes the backend server off the list, once the lag has passed.
func (l *List) DropServer(id value.ServerID) {
	l.later(func(v listed) listed { v.servers = v.servers.Without(id); return v })
}

// SetInstance lists the instance as given, once the lag has passed.
func (l *List) SetInstance(i value.Instance) {
	l.later(func(v listed) listed { v.instances = v.instances.With(i.ID, i); return v })
}

// DropInstance takes the instance off the list, once the lag has passed.
func (l *List) DropInstance(id value.InstanceID) {
	l.later(func(v listed) listed { v.instances = v.instances.Without(id); return v })
}

// SetAway makes the list fail or answer, at once.
func (l *List) SetAway(away bool) {
	l.current.Update(func(v listed) listed { v.away = away; return v })
}

func (l *List) later(next func(listed) listed) {
	if l.Lag <= 0 {
		l.current.Update(next)
		return
	}
	time.AfterFunc(l.Lag, func() { l.current.Update(next) })
}

// Servers returns the backend servers as listed.
func (l *List) Servers(context.Context) ([]value.BackendServer, error) {
	v := l.current.Get()
	if v.away {
		return nil, fmt.Errorf("read list of servers: %w", plat.ErrUnavailable)
	}
	return valuesOf(v.servers), nil
}

// Instances returns the instances of the system as listed.
func (l *List) Instances(context.Context) ([]value.Instance, error) {
	v := l.current.Get()
	if v.away {
		return nil, fmt.Errorf("read list of instances: %w", plat.ErrUnavailable)
	}
	return valuesOf(v.instances), nil
}

func valuesOf[K ~string, V any](t policy.Table[K, V]) []V {
	list := make([]V, 0, t.Len())
	for _, v := range t.All() {
		list = append(list, v)
	}
	return list
}

// Ratings is a rating service that publishes each rating after a lag.
type Ratings struct {
	Lag  time.Duration
	mu   sync.Mutex
	list []plat.Rating
	away bool
}

// Add rates an answer, once the lag has passed.
func (r *Ratings) Add(rating plat.Rating) {
	if r.Lag <= 0 {
		r.publish(rating)
		return
	}
	time.AfterFunc(r.Lag, func() { r.publish(rating) })
}

func (r *Ratings) publish(rating plat.Rating) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, rating)
}

// SetAway makes the service fail or answer, at once.
func (r *Ratings) SetAway(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = away
}

// Ratings returns the ratings after the cursor and the next cursor; the empty cursor is the start.
func (r *Ratings) Ratings(_ context.Context, cursor string) ([]plat.Rating, string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return nil, cursor, fmt.Errorf("read ratings: %w", plat.ErrUnavailable)
	}
	start := 0
	if cursor != "" {
		n, err := strconv.Atoi(cursor)
		if err != nil || n < 0 || n > len(r.list) {
			return nil, cursor, fmt.Errorf("read ratings: no cursor %q", cursor)
		}
		start = n
	}
	return append([]plat.Rating(nil), r.list[start:]...), strconv.Itoa(len(r.list)), nil
}

// Weights is a weight store that serves a number of loads a second.
type Weights struct {
	limiter *rate.Limiter
}

// ErrWeightsBusy marks a load that the weight store turned away.
var ErrWeightsBusy = errors.New("weight store is busy")

// NewWeights returns a store that serves so many loads a second, and as many as the burst at once.
func NewWeights(loadsPerSecond float64, burst int) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst)}
}

// Available returns how many loads the store would serve at once.
func (w *Weights) Available(context.Context) (int, error) {
	return int(w.limiter.Tokens()), nil
}

// Take serves one load, or fails with ErrWeightsBusy.
func (w *Weights) Take() error {
	if !w.limiter.Allow() {
		return ErrWeightsBusy
	}
	return nil
}
