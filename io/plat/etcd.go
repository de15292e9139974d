package plat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The paths of the gateway.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// EtcdConfig sets up an Etcd store.
type EtcdConfig struct {
	// Base is the gateway's address, such as http://10.0.0.5:2379.
	Base string
	// Client carries the calls; it must not repeat a call by itself.
	Client *http.Client
}

// Etcd speaks to the platform's store over the published etcd v3 JSON gateway.
type Etcd struct {
	gate gateway
}

// NewEtcd returns a store that connects on its first call.
func NewEtcd(c EtcdConfig) (*Etcd, error) {
	if c.Base == "" {
		return nil, errors.New("etcd store: no address")
	}
	if c.Client == nil {
		return nil, errors.New("etcd store: no HTTP client")
	}
	return &Etcd{gate: gateway{base: strings.TrimSuffix(c.Base, "/"), client: c.Client}}, nil
}

// Get returns the entry, with revision zero where there is none.
func (s *Etcd) Get(ctx context.Context, key string) (Entry, error) {
	l, err := ask[wireListing](ctx, s.gate, pathRange, wireRange{Key: []byte(key)})
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, forRead(err))
	}
	return first(key, l), nil
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (s *Etcd) List(ctx context.Context, prefix string) (Listing, error) {
	l, err := ask[wireListing](ctx, s.gate, pathRange, wireRange{Key: rangeKey(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return Listing{}, fmt.Errorf("list %s: %w", prefix, forRead(err))
	}
	listing := Listing{Revision: l.Header.Revision}
	for _, kv := range l.Kvs {
		listing.Entries = append(listing.Entries, kv.entry())
	}
	return listing, nil
}

// Swap replaces the entry and returns its new revision.
func (s *Etcd) Swap(ctx context.Context, c Swap) (int64, error) {
	if len(c.Value) > ValueLimit {
		return 0, fmt.Errorf("swap %s: %w", c.Key, TooLarge{Key: c.Key, Bytes: len(c.Value)})
	}
	put := wirePut{Key: []byte(c.Key), Value: c.Value, Lease: int64(c.Lease)}
	revision, err := s.transact(ctx, c.Key, c.Expect, wireOp{Put: &put})
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", c.Key, err)
	}
	return revision, nil
}

// Delete removes the entry if its revision is the expected one.
func (s *Etcd) Delete(ctx context.Context, key string, expect int64) error {
	_, err := s.transact(ctx, key, expect, wireOp{Delete: &wireRange{Key: []byte(key)}})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

func (s *Etcd) transact(ctx context.Context, key string, expect int64, op wireOp) (int64, error) {
	done, err := ask[wireTxnDone](ctx, s.gate, pathTxn, wireTxn{
		Compare: []wireCompare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expect}},
		Success: []wireOp{op},
		Failure: []wireOp{{Range: &wireRange{Key: []byte(key)}}},
	})
	if err != nil {
		return 0, err
	}
	if done.Succeeded {
		return done.Header.Revision, nil
	}
	if len(done.Responses) == 0 {
		return 0, fmt.Errorf("conflict without the present entry: %w", ErrUnavailable)
	}
	return 0, Conflict{Present: first(key, done.Responses[0].Range)}
}

// Grant returns a new lease; the gateway counts in seconds, so the length is rounded up.
func (s *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if seconds < 1 {
		return 0, fmt.Errorf("grant lease: length of %s", ttl)
	}
	l, err := ask[wireLease](ctx, s.gate, pathGrant, wireLease{TTL: seconds})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return LeaseID(l.ID), nil
}

// KeepAlive renews the lease and returns its remaining time.
func (s *Etcd) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	kept, err := ask[wireKept](ctx, s.gate, pathKeepAlive, wireLease{ID: int64(id)})
	if err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, err)
	}
	if kept.Result.TTL <= 0 {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, ErrLeaseLost)
	}
	return time.Duration(kept.Result.TTL) * time.Second, nil
}

// Revoke ends the lease and deletes its entries.
func (s *Etcd) Revoke(ctx context.Context, id LeaseID) error {
	if _, err := ask[struct{}](ctx, s.gate, pathRevoke, wireLease{ID: int64(id)}); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

// Watch sends the changes under the prefix from the revision on, or from now on where it is zero.
func (s *Etcd) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	var question wireWatch
	question.Create.Key = rangeKey(prefix)
	question.Create.RangeEnd = prefixEnd(prefix)
	question.Create.StartRevision = from
	body, err := s.gate.post(ctx, pathWatch, question)
	if err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, forRead(err))
	}
	answers := json.NewDecoder(body)
	var opened wireEvents
	if err := answers.Decode(&opened); err != nil {
		body.Close()
		return nil, fmt.Errorf("watch %s: %w: %w", prefix, ErrUnavailable, err)
	}
	if opened.Result.CompactRevision > 0 {
		body.Close()
		return nil, fmt.Errorf("watch %s from %d: %w", prefix, from, ErrCompacted)
	}
	out := make(chan Event)
	go func() {
		defer close(out)
		defer body.Close()
		relay(ctx, answers, opened, out)
	}()
	return out, nil
}

// relay sends the events of each answer until the stream ends or the gateway cancels the watch.
func relay(ctx context.Context, answers *json.Decoder, next wireEvents, out chan<- Event) {
	for !next.Result.Canceled && next.Error == nil {
		for _, e := range next.Result.Events {
			ev := Event{Entry: e.Kv.entry(), Deleted: e.Type == "DELETE"}
			if !send(ctx, out, ev) {
				return
			}
		}
		next = wireEvents{}
		if answers.Decode(&next) != nil {
			return
		}
	}
}

func first(key string, l wireListing) Entry {
	if len(l.Kvs) == 0 {
		return Entry{Key: key}
	}
	return l.Kvs[0].entry()
}
