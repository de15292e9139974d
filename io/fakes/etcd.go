package fakes

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"endivehitch/io/plat"
)

// Etcd serves a store over the paths of etcd's v3 JSON gateway. To inject faults, set its Store to a
// fakes.Store.
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

// Handler returns an HTTP handler for the gateway's paths.
func (g Etcd) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handleJSON(g.list))
	mux.HandleFunc("POST /v3/kv/put", handleJSON(g.put))
	mux.HandleFunc("POST /v3/kv/txn", handleJSON(g.transact))
	mux.HandleFunc("POST /v3/lease/grant", handleJSON(g.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handleJSON(g.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", handleJSON(g.revoke))
	mux.HandleFunc("POST /v3/watch", g.watch)
	return mux
}

// handleJSON returns a handler that decodes the request body, calls do and encodes its result.
func handleJSON[Q, A any](do func(*http.Request, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			writeError(w, http.StatusBadRequest, 3, err)
			return
		}
		response, err := do(r, q)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

// writeStoreError answers a failed store call as the gateway would. For a lost answer it closes the
// connection.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, plat.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, plat.ErrLeaseLost):
		writeError(w, http.StatusNotFound, 5, errors.New("etcdserver: requested lease not found"))
	case errors.Is(err, plat.ErrUnavailable):
		writeError(w, http.StatusTooManyRequests, 8, err)
	default:
		writeError(w, http.StatusBadRequest, 3, err)
	}
}

// writeError answers with the HTTP status and, in the body, the gRPC status code.
func writeError(w http.ResponseWriter, status, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcdError{Error: err.Error(), Code: code, Message: err.Error()})
}

// list returns the entry with the key, or with a range end the entries whose keys have it as prefix.
func (g Etcd) list(r *http.Request, query etcdRange) (etcdListing, error) {
	if len(query.RangeEnd) == 0 {
		e, err := g.Store.Get(r.Context(), string(query.Key))
		return encodeListing(plat.Listing{Entries: []plat.Entry{e}, Revision: e.Revision}), err
	}
	l, err := g.Store.List(r.Context(), decodePrefix(query.Key))
	return encodeListing(l), err
}

// decodePrefix returns the prefix that the key stands for; the gateway's clients encode the empty
// prefix as a zero byte.
func decodePrefix(key []byte) string {
	if len(key) == 1 && key[0] == 0 {
		return ""
	}
	return string(key)
}

func encodeListing(l plat.Listing) etcdListing {
	encoded := etcdListing{Header: etcdHeader{Revision: l.Revision}}
	for _, e := range l.Entries {
		if e.Revision > 0 {
			encoded.Kvs = append(encoded.Kvs, encodeEntry(e))
		}
	}
	return encoded
}

func encodeEntry(e plat.Entry) etcdEntry {
	return etcdEntry{Key: []byte(e.Key), Value: e.Value, ModRevision: e.Revision, Lease: int64(e.Lease)}
}

func (g Etcd) grant(r *http.Request, q etcdLease) (etcdLease, error) {
	id, err := g.Store.Grant(r.Context(), time.Duration(q.TTL)*time.Second)
	return etcdLease{ID: int64(id), TTL: q.TTL}, err
}

type etcdKeepAlive struct {
	Result etcdLease `json:"result"`
}

func (g Etcd) keepAlive(r *http.Request, q etcdLease) (etcdKeepAlive, error) {
	remaining, err := g.Store.KeepAlive(r.Context(), plat.LeaseID(q.ID))
	if errors.Is(err, plat.ErrLeaseLost) {
		// The gateway reports a lost lease by an answer without a TTL.
		return etcdKeepAlive{Result: etcdLease{ID: q.ID}}, nil
	}
	return etcdKeepAlive{Result: etcdLease{ID: q.ID, TTL: int64(remaining / time.Second)}}, err
}

func (g Etcd) revoke(r *http.Request, q etcdLease) (etcdListing, error) {
	return etcdListing{}, g.Store.Revoke(r.Context(), plat.LeaseID(q.ID))
}
