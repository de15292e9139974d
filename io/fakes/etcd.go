package fakes

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"endivehitch/io/plat"
)

// Etcd answers the paths of an etcd v3 JSON gateway from a store; faults are set on a Store beneath it.
type Etcd struct {
	Store plat.Store
}

type etcdRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"rangeEnd"`
}

type etcdEntry struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,omitempty,string"`
}

type etcdHeader struct {
	Revision int64 `json:"revision,string"`
}

type etcdListing struct {
	Header etcdHeader  `json:"header"`
	Kvs    []etcdEntry `json:"kvs,omitempty"`
}

type etcdLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

type etcdError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Handler returns the gateway's paths.
func (g Etcd) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", answer(g.list))
	mux.HandleFunc("POST /v3/kv/put", answer(g.put))
	mux.HandleFunc("POST /v3/kv/txn", answer(g.transact))
	mux.HandleFunc("POST /v3/lease/grant", answer(g.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", answer(g.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", answer(g.revoke))
	mux.HandleFunc("POST /v3/watch", g.watch)
	return mux
}

// answer decodes the question and encodes what the function makes of it.
func answer[Q, A any](do func(*http.Request, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			refuse(w, http.StatusBadRequest, 3, err)
			return
		}
		a, err := do(r, q)
		if err != nil {
			fail(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	}
}

// fail answers as the gateway would; a lost answer breaks the connection.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, plat.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, plat.ErrLeaseLost):
		refuse(w, http.StatusNotFound, 5, errors.New("etcdserver: requested lease not found"))
	case errors.Is(err, plat.ErrUnavailable):
		refuse(w, http.StatusTooManyRequests, 8, err)
	default:
		refuse(w, http.StatusBadRequest, 3, err)
	}
}

func refuse(w http.ResponseWriter, status, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcdError{Error: err.Error(), Code: code, Message: err.Error()})
}

func (g Etcd) list(r *http.Request, q etcdRange) (etcdListing, error) {
	if len(q.RangeEnd) == 0 {
		e, err := g.Store.Get(r.Context(), string(q.Key))
		return listing(plat.Listing{Entries: []plat.Entry{e}, Revision: e.Revision}), err
	}
	l, err := g.Store.List(r.Context(), prefixOf(q.Key))
	return listing(l), err
}

// prefixOf undoes the spelling of the empty key as a zero byte.
func prefixOf(key []byte) string {
	if len(key) == 1 && key[0] == 0 {
		return ""
	}
	return string(key)
}

func listing(l plat.Listing) etcdListing {
	out := etcdListing{Header: etcdHeader{Revision: l.Revision}}
	for _, e := range l.Entries {
		if e.Revision > 0 {
			out.Kvs = append(out.Kvs, wireOf(e))
		}
	}
	return out
}

func wireOf(e plat.Entry) etcdEntry {
	return etcdEntry{Key: []byte(e.Key), Value: e.Value, ModRevision: e.Revision, Lease: int64(e.Lease)}
}

func (g Etcd) grant(r *http.Request, q etcdLease) (etcdLease, error) {
	id, err := g.Store.Grant(r.Context(), time.Duration(q.TTL)*time.Second)
	return etcdLease{ID: int64(id), TTL: q.TTL}, err
}

type etcdKept struct {
	Result etcdLease `json:"result"`
}

func (g Etcd) keepAlive(r *http.Request, q etcdLease) (etcdKept, error) {
	left, err := g.Store.KeepAlive(r.Context(), plat.LeaseID(q.ID))
	if errors.Is(err, plat.ErrLeaseLost) {
		// The gateway says so by an answer without a remaining time.
		return etcdKept{Result: etcdLease{ID: q.ID}}, nil
	}
	return etcdKept{Result: etcdLease{ID: q.ID, TTL: int64(left / time.Second)}}, err
}

func (g Etcd) revoke(r *http.Request, q etcdLease) (etcdListing, error) {
	return etcdListing{}, g.Store.Revoke(r.Context(), plat.LeaseID(q.ID))
}
