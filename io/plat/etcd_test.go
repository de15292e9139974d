package plat_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

func newGateway(t *testing.T) (*plat.Etcd, *fakes.Store) {
	t.Helper()
	faulty := fakes.NewStore(newEmbedded(t))
	server := httptest.NewServer(fakes.Etcd{Store: faulty}.Handler())
	t.Cleanup(server.Close)
	e, err := plat.NewEtcd(plat.EtcdConfig{Base: server.URL, Client: server.Client()})
	assert.NilError(t, err)
	return e, faulty
}

// TestStoresBehaveAlike makes the same calls to the embedded store and through the gateway, and
// expects the same results.
func TestStoresBehaveAlike(t *testing.T) {
	gate, _ := newGateway(t)
	for name, store := range map[string]plat.Store{"embedded": newEmbedded(t), "gateway": gate} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			lease, err := store.Grant(ctx, 1500*time.Millisecond)
			assert.NilError(t, err)
			_, err = store.KeepAlive(ctx, lease)
			assert.NilError(t, err)
			first, err := store.Swap(ctx, plat.Swap{Key: "a/1", Value: []byte{0, 255}, Lease: lease})
			assert.NilError(t, err)
			got, err := store.Get(ctx, "a/1")
			assert.NilError(t, err)
			assert.DeepEqual(t, got, plat.Entry{Key: "a/1", Value: []byte{0, 255}, Revision: first, Lease: lease})
			_, err = store.Swap(ctx, plat.Swap{Key: "a/1", Expect: first + 7})
			var conflict plat.Conflict
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
			assert.Equal(t, conflict.Current.Revision, first)
			err = store.Delete(ctx, "a/1", first+7)
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
			_, err = store.Swap(ctx, plat.Swap{Key: "b/1", Value: []byte("b")})
			assert.NilError(t, err)
			listing, err := store.List(ctx, "a/")
			assert.NilError(t, err)
			assert.Equal(t, len(listing.Entries), 1)
			all, err := store.List(ctx, "")
			assert.NilError(t, err)
			assert.Equal(t, len(all.Entries), 2)
			events, err := store.Watch(ctx, "a/", listing.Revision+1)
			assert.NilError(t, err)
			assert.NilError(t, store.Revoke(ctx, lease))
			deleted := <-events
			assert.Assert(t, deleted.Deleted)
			assert.Equal(t, deleted.Entry.Key, "a/1")
			assert.ErrorIs(t, store.Revoke(ctx, lease), plat.ErrLeaseLost)
			_, err = store.KeepAlive(ctx, lease)
			assert.ErrorIs(t, err, plat.ErrLeaseLost)
			_, err = store.Swap(ctx, plat.Swap{Key: "a/2", Lease: lease})
			assert.ErrorIs(t, err, plat.ErrLeaseLost)
			got, err = store.Get(ctx, "a/1")
			assert.NilError(t, err)
			assert.Equal(t, got.Revision, int64(0))
		})
	}
}

func TestGatewayDistinguishesUnknownFromUnavailable(t *testing.T) {
	gate, faulty := newGateway(t)
	assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithLostAnswers(1)))
	_, err := gate.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("1")})
	assert.ErrorIs(t, err, plat.ErrUnknown)
	got, err := gate.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "1", "the change must have taken effect")

	assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithRefuse(true)))
	_, err = gate.Swap(t.Context(), plat.Swap{Key: "b"})
	assert.ErrorIs(t, err, plat.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, plat.ErrUnknown))

	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	unreachable, err := plat.NewEtcd(plat.EtcdConfig{Base: closed.URL, Client: http.DefaultClient})
	assert.NilError(t, err)
	_, err = unreachable.Swap(t.Context(), plat.Swap{Key: "c"})
	assert.ErrorIs(t, err, plat.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, plat.ErrUnknown), "nothing was sent")
	_, err = unreachable.Get(t.Context(), "c")
	assert.ErrorIs(t, err, plat.ErrUnavailable)
}

func TestGatewayServerErrorLeavesAWriteUnknown(t *testing.T) {
	timedOut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":"etcdserver: request timed out","code":14}`))
	}))
	defer timedOut.Close()
	gate, err := plat.NewEtcd(plat.EtcdConfig{Base: timedOut.URL, Client: timedOut.Client()})
	assert.NilError(t, err)
	_, err = gate.Swap(t.Context(), plat.Swap{Key: "a"})
	assert.ErrorIs(t, err, plat.ErrUnknown)
	_, err = gate.Get(t.Context(), "a")
	assert.ErrorIs(t, err, plat.ErrUnavailable)
}

func TestGatewayWatchEndsWhenTheServiceGoesDown(t *testing.T) {
	gate, faulty := newGateway(t)
	events, err := gate.Watch(t.Context(), "a", 0)
	assert.NilError(t, err)
	assert.NilError(t, faulty.SetFaults(fakes.StoreFaults{}.WithDown(true)))
	_, open := <-events
	assert.Assert(t, !open)
}
