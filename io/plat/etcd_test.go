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

func gateway(t *testing.T) (*plat.Etcd, *fakes.Store) {
	t.Helper()
	faulty := fakes.NewStore(embedded(t))
	server := httptest.NewServer(fakes.Etcd{Store: faulty}.Handler())
	t.Cleanup(server.Close)
	e, err := plat.NewEtcd(plat.EtcdConfig{Base: server.URL, Client: server.Client()})
	assert.NilError(t, err)
	return e, faulty
}

// TestGatewayKeepsTheStoresContract runs the same calls against the embedded store and the gateway.
func TestGatewayKeepsTheStoresContract(t *testing.T) {
	gate, _ := gateway(t)
	for name, s := range map[string]plat.Store{"embedded": embedded(t), "gateway": gate} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			lease, err := s.Grant(ctx, 1500*time.Millisecond)
			assert.NilError(t, err)
			_, err = s.KeepAlive(ctx, lease)
			assert.NilError(t, err)
			first, err := s.Swap(ctx, plat.Swap{Key: "a/1", Value: []byte{0, 255}, Lease: lease})
			assert.NilError(t, err)
			got, err := s.Get(ctx, "a/1")
			assert.NilError(t, err)
			assert.DeepEqual(t, got, plat.Entry{Key: "a/1", Value: []byte{0, 255}, Revision: first, Lease: lease})
			_, err = s.Swap(ctx, plat.Swap{Key: "a/1", Expect: first + 7})
			var conflict plat.Conflict
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
			assert.Equal(t, conflict.Present.Revision, first)
			err = s.Delete(ctx, "a/1", first+7)
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
			_, err = s.Swap(ctx, plat.Swap{Key: "b/1", Value: []byte("b")})
			assert.NilError(t, err)
			l, err := s.List(ctx, "a/")
			assert.NilError(t, err)
			assert.Equal(t, len(l.Entries), 1)
			all, err := s.List(ctx, "")
			assert.NilError(t, err)
			assert.Equal(t, len(all.Entries), 2)
			events, err := s.Watch(ctx, "a/", l.Revision+1)
			assert.NilError(t, err)
			assert.NilError(t, s.Revoke(ctx, lease))
			gone := <-events
			assert.Assert(t, gone.Deleted)
			assert.Equal(t, gone.Entry.Key, "a/1")
			assert.ErrorIs(t, s.Revoke(ctx, lease), plat.ErrLeaseLost)
			_, err = s.KeepAlive(ctx, lease)
			assert.ErrorIs(t, err, plat.ErrLeaseLost)
			_, err = s.Swap(ctx, plat.Swap{Key: "a/2", Lease: lease})
			assert.ErrorIs(t, err, plat.ErrLeaseLost)
			got, err = s.Get(ctx, "a/1")
			assert.NilError(t, err)
			assert.Equal(t, got.Revision, int64(0))
		})
	}
}

func TestGatewayTellsUnknownFromUnavailable(t *testing.T) {
	gate, faulty := gateway(t)
	assert.NilError(t, faulty.Set(fakes.Faults{}.WithLostAnswers(1)))
	_, err := gate.Swap(t.Context(), plat.Swap{Key: "a", Value: []byte("1")})
	assert.ErrorIs(t, err, plat.ErrUnknown)
	got, err := gate.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "1", "the change took effect")

	assert.NilError(t, faulty.Set(fakes.Faults{}.WithRefuse(true)))
	_, err = gate.Swap(t.Context(), plat.Swap{Key: "b"})
	assert.ErrorIs(t, err, plat.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, plat.ErrUnknown))

	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	away, err := plat.NewEtcd(plat.EtcdConfig{Base: closed.URL, Client: http.DefaultClient})
	assert.NilError(t, err)
	_, err = away.Swap(t.Context(), plat.Swap{Key: "c"})
	assert.ErrorIs(t, err, plat.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, plat.ErrUnknown), "nothing was sent")
	_, err = away.Get(t.Context(), "c")
	assert.ErrorIs(t, err, plat.ErrUnavailable)
}

func TestGatewayServerErrorLeavesAWriteOpen(t *testing.T) {
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

func TestGatewayWatchBreaksOffWithTheService(t *testing.T) {
	gate, faulty := gateway(t)
	events, err := gate.Watch(t.Context(), "a", 0)
	assert.NilError(t, err)
	assert.NilError(t, faulty.Set(fakes.Faults{}.WithDown(true)))
	_, open := <-events
	assert.Assert(t, !open)
}
