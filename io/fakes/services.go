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

// InstanceList is the platform's list of instances and backend servers, which shows each change
// after the lag.
type InstanceList struct {
	Lag     time.Duration
	current policy.Cell[listState]
}

type listState struct {
	servers     policy.Table[value.ServerID, value.BackendServer]
	instances   policy.Table[value.InstanceID, value.Instance]
	unreachable bool
}

// SetServer adds or replaces the backend server after the lag.
func (l *InstanceList) SetServer(server value.BackendServer) {
	l.updateAfterLag(func(v listState) listState { v.servers = v.servers.With(server.ID, server); return v })
}

// DropServer removes the backend server after the lag.
func (l *InstanceList) DropServer(id value.ServerID) {
	l.updateAfterLag(func(v listState) listState { v.servers = v.servers.Without(id); return v })
}

// SetInstance adds or replaces the instance after the lag.
func (l *InstanceList) SetInstance(instance value.Instance) {
	l.updateAfterLag(func(v listState) listState { v.instances = v.instances.With(instance.ID, instance); return v })
}

// DropInstance removes the instance after the lag.
func (l *InstanceList) DropInstance(id value.InstanceID) {
	l.updateAfterLag(func(v listState) listState { v.instances = v.instances.Without(id); return v })
}

// SetUnreachable makes reads of the list fail or succeed from now on, without a lag.
func (l *InstanceList) SetUnreachable(unreachable bool) {
	l.current.Update(func(v listState) listState { v.unreachable = unreachable; return v })
}

func (l *InstanceList) updateAfterLag(change func(listState) listState) {
	if l.Lag <= 0 {
		l.current.Update(change)
		return
	}
	time.AfterFunc(l.Lag, func() { l.current.Update(change) })
}

// Servers returns the backend servers that the list shows.
func (l *InstanceList) Servers(context.Context) ([]value.BackendServer, error) {
	v := l.current.Get()
	if v.unreachable {
		return nil, fmt.Errorf("read list of servers: %w", plat.ErrUnavailable)
	}
	return valuesOf(v.servers), nil
}

// Instances returns the instances that the list shows.
func (l *InstanceList) Instances(context.Context) ([]value.Instance, error) {
	v := l.current.Get()
	if v.unreachable {
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

// Ratings is a rating service that publishes each rating after the lag.
type Ratings struct {
	Lag         time.Duration
	mu          sync.Mutex
	published   []plat.Rating
	unreachable bool
}

// Add publishes the rating after the lag.
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
	r.published = append(r.published, rating)
}

// SetUnreachable makes reads of the ratings fail or succeed from now on, without a lag.
func (r *Ratings) SetUnreachable(unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = unreachable
}

// Ratings returns the ratings published after the cursor, and the next cursor; the empty cursor is
// the start.
func (r *Ratings) Ratings(_ context.Context, cursor string) ([]plat.Rating, string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return nil, cursor, fmt.Errorf("read ratings: %w", plat.ErrUnavailable)
	}
	start := 0
	if cursor != "" {
		n, err := strconv.Atoi(cursor)
		if err != nil || n < 0 || n > len(r.published) {
			return nil, cursor, fmt.Errorf("read ratings: no cursor %q", cursor)
		}
		start = n
	}
	return append([]plat.Rating(nil), r.published[start:]...), strconv.Itoa(len(r.published)), nil
}

// Weights is a store of model weights that limits the rate of loads.
type Weights struct {
	limiter *rate.Limiter
}

// ErrWeightsBusy is returned for a load above the rate limit of the weight store.
var ErrWeightsBusy = errors.New("weight store refused the load: rate limit reached")

// NewWeights returns a store that serves the given number of loads a second, with bursts up to burst.
func NewWeights(loadsPerSecond float64, burst int) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst)}
}

// Available returns how many loads the store would serve at present.
func (w *Weights) Available(context.Context) (int, error) {
	return int(w.limiter.Tokens()), nil
}

// ReserveLoad serves one load, or fails with ErrWeightsBusy.
func (w *Weights) ReserveLoad() error {
	if !w.limiter.Allow() {
		return ErrWeightsBusy
	}
	return nil
}
