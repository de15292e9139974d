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

// EtcdConfig configures an Etcd store.
type EtcdConfig struct {
	// Base is the gateway's address, such as http://10.0.0.5:2379.
	Base string
	// Client makes the calls; it must not retry a call by itself.
	Client *http.Client
}

// Etcd is a client of the platform's key-value service, over the published JSON gateway of etcd v3.
type Etcd struct {
	gate gateway
}

// NewEtcd returns a store that connects on its first call.
func NewEtcd(c EtcdConfig) (*Etcd, error) {
	if c.Base == "" {
		return nil, errors.New("etcd store: the gateway's address is missing")
	}
	if c.Client == nil {
		return nil, errors.New("etcd store: the HTTP client is missing")
	}
	return &Etcd{gate: gateway{base: strings.TrimSuffix(c.Base, "/"), client: c.Client}}, nil
}

// Get returns the entry, with revision zero if there is none.
func (s *Etcd) Get(ctx context.Context, key string) (Entry, error) {
	l, err := call[wireListing](ctx, s.gate, pathRange, wireRange{Key: []byte(key)})
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, asReadError(err))
	}
	return firstEntry(key, l), nil
}

// List returns all entries whose keys have the prefix, in the order of keys.
func (s *Etcd) List(ctx context.Context, prefix string) (Listing, error) {
	l, err := call[wireListing](ctx, s.gate, pathRange, wireRange{Key: rangeKey(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return Listing{}, fmt.Errorf("list %s: %w", prefix, asReadError(err))
	}
	listing := Listing{Revision: l.Header.Revision}
	for _, kv := range l.Kvs {
		listing.Entries = append(listing.Entries, kv.entry())
	}
	return listing, nil
}

// Swap replaces the entry and returns its new revision.
func (s *Etcd) Swap(ctx context.Context, swap Swap) (int64, error) {
	if len(swap.Value) > ValueLimit {
		return 0, fmt.Errorf("swap %s: %w", swap.Key, TooLarge{Key: swap.Key, Bytes: len(swap.Value)})
	}
	put := wirePut{Key: []byte(swap.Key), Value: swap.Value, Lease: int64(swap.Lease)}
	revision, err := s.transact(ctx, swap.Key, swap.Expect, wireOp{Put: &put})
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", swap.Key, err)
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

// transact makes one change to a key if its revision is the expected one, and returns the new
// revision. If the revision differs, the error is a Conflict with the current entry.
func (s *Etcd) transact(ctx context.Context, key string, expect int64, op wireOp) (int64, error) {
	result, err := call[wireTxnResult](ctx, s.gate, pathTxn, wireTxn{
		Compare: []wireCompare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expect}},
		Success: []wireOp{op},
		Failure: []wireOp{{Range: &wireRange{Key: []byte(key)}}},
	})
	if err != nil {
		return 0, err
	}
	if result.Succeeded {
		return result.Header.Revision, nil
	}
	return 0, Conflict{Current: firstEntry(key, result.Responses[0].Range)}
}

// Grant returns a new lease; its length is rounded up to seconds, the unit of the gateway.
func (s *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if seconds < 1 {
		return 0, fmt.Errorf("grant lease: length must be positive, got %s", ttl)
	}
	l, err := call[wireLease](ctx, s.gate, pathGrant, wireLease{TTL: seconds})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return LeaseID(l.ID), nil
}

// KeepAlive renews the lease and returns its remaining time.
func (s *Etcd) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	renewed, err := call[wireKeepAlive](ctx, s.gate, pathKeepAlive, wireLease{ID: int64(id)})
	if err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, err)
	}
	if renewed.Result.TTL <= 0 {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, ErrLeaseLost)
	}
	return time.Duration(renewed.Result.TTL) * time.Second, nil
}

// Revoke ends the lease and deletes its entries.
func (s *Etcd) Revoke(ctx context.Context, id LeaseID) error {
	if _, err := call[wireRevoked](ctx, s.gate, pathRevoke, wireLease{ID: int64(id)}); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

// Watch sends the changes under the prefix, starting with the given revision, or with the next
// change if it is zero.
func (s *Etcd) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	var request wireWatch
	request.Create.Key = rangeKey(prefix)
	request.Create.RangeEnd = prefixEnd(prefix)
	request.Create.StartRevision = from
	body, err := s.gate.post(ctx, pathWatch, request)
	if err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, asReadError(err))
	}
	messages := json.NewDecoder(body)
	var first wireEvents
	if err := messages.Decode(&first); err != nil {
		body.Close()
		return nil, fmt.Errorf("watch %s: %w: %w", prefix, ErrUnavailable, err)
	}
	if first.Result.CompactRevision > 0 {
		body.Close()
		return nil, fmt.Errorf("watch %s from %d: %w", prefix, from, ErrCompacted)
	}
	if !first.Result.Created {
		body.Close()
		return nil, fmt.Errorf("watch %s: %w: gateway did not open it", prefix, ErrUnavailable)
	}
	out := make(chan Event)
	go func() {
		defer close(out)
		defer body.Close()
		forwardEvents(ctx, messages, first, out)
	}()
	return out, nil
}

// forwardEvents sends the events of each message until the stream or the context ends or the
// gateway cancels the watch.
func forwardEvents(ctx context.Context, messages *json.Decoder, next wireEvents, out chan<- Event) {
	for !next.Result.Canceled && next.Error == nil {
		for _, e := range next.Result.Events {
			event := Event{Entry: e.Kv.entry(), Deleted: e.Type == "DELETE"}
			if !send(ctx, out, event) {
				return
			}
		}
		next = wireEvents{}
		if messages.Decode(&next) != nil {
			return
		}
	}
}

// firstEntry returns the first entry of the listing, or one of revision zero if there is none.
func firstEntry(key string, l wireListing) Entry {
	if len(l.Kvs) == 0 {
		return Entry{Key: key}
	}
	return l.Kvs[0].entry()
}
