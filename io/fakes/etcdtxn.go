package fakes

import (
	"encoding/json"
	"errors"
	"net/http"

	"endivehitch/io/plat"
)

type etcdPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type etcdTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"modRevision,string"`
	} `json:"compare"`
	Success []struct {
		Put    *etcdPut   `json:"requestPut"`
		Delete *etcdRange `json:"requestDeleteRange"`
	} `json:"success"`
}

type etcdTxnResult struct {
	Header    etcdHeader        `json:"header"`
	Succeeded bool              `json:"succeeded,omitempty"`
	Responses []etcdTxnResponse `json:"responses,omitempty"`
}

type etcdTxnResponse struct {
	Range *etcdListing `json:"response_range,omitempty"`
}

var errUnsupportedTxn = errors.New("stand-in supports only one comparison of a modification revision and one change")

// put writes the key whatever its revision is, as a put of etcd does. The store has only a
// compare-and-swap, so it is retried until no other writer interferes.
func (g Etcd) put(r *http.Request, request etcdPut) (etcdListing, error) {
	for {
		e, err := g.Store.Get(r.Context(), string(request.Key))
		if err != nil {
			return etcdListing{}, err
		}
		revision, err := g.Store.Swap(r.Context(), plat.Swap{Key: e.Key, Expect: e.Revision, Value: request.Value, Lease: plat.LeaseID(request.Lease)})
		var conflict plat.Conflict
		if errors.As(err, &conflict) {
			continue
		}
		return etcdListing{Header: etcdHeader{Revision: revision}}, err
	}
}

func (g Etcd) transact(r *http.Request, txn etcdTxn) (etcdTxnResult, error) {
	if len(txn.Compare) != 1 || len(txn.Success) != 1 || txn.Compare[0].Target != "MOD" || txn.Compare[0].Result != "EQUAL" {
		return etcdTxnResult{}, errUnsupportedTxn
	}
	var revision int64
	var err error
	switch op := txn.Success[0]; {
	case op.Put != nil:
		revision, err = g.Store.Swap(r.Context(), plat.Swap{
			Key:    string(op.Put.Key),
			Expect: txn.Compare[0].ModRevision,
			Value:  op.Put.Value,
			Lease:  plat.LeaseID(op.Put.Lease),
		})
	case op.Delete != nil:
		err = g.Store.Delete(r.Context(), string(op.Delete.Key), txn.Compare[0].ModRevision)
	default:
		err = errUnsupportedTxn
	}
	var conflict plat.Conflict
	if errors.As(err, &conflict) {
		current := encodeListing(plat.Listing{Entries: []plat.Entry{conflict.Current}})
		return etcdTxnResult{Responses: []etcdTxnResponse{{Range: &current}}}, nil
	}
	return etcdTxnResult{Header: etcdHeader{Revision: revision}, Succeeded: err == nil}, err
}

type etcdWatch struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"startRevision,string"`
	} `json:"createRequest"`
}

type etcdEvent struct {
	Type string    `json:"type,omitempty"`
	Kv   etcdEntry `json:"kv"`
}

type etcdEvents struct {
	Result struct {
		Created         bool        `json:"created,omitempty"`
		Canceled        bool        `json:"canceled,omitempty"`
		CompactRevision int64       `json:"compact_revision,omitempty,string"`
		Events          []etcdEvent `json:"events,omitempty"`
	} `json:"result"`
}

func (g Etcd) watch(w http.ResponseWriter, r *http.Request) {
	var request etcdWatch
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, 3, err)
		return
	}
	events, err := g.Store.Watch(r.Context(), decodePrefix(request.Create.Key), request.Create.StartRevision)
	if errors.Is(err, plat.ErrCompacted) {
		var compacted etcdEvents
		compacted.Result.Canceled = true
		compacted.Result.CompactRevision = request.Create.StartRevision
		writeEvents(w, compacted)
		return
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	var opened etcdEvents
	opened.Result.Created = true
	writeEvents(w, opened)
	for e := range events {
		var next etcdEvents
		next.Result.Events = []etcdEvent{{Kv: encodeEntry(e.Entry)}}
		if e.Deleted {
			next.Result.Events[0].Type = "DELETE"
		}
		writeEvents(w, next)
	}
}

// writeEvents writes one line of a watch stream and flushes it.
func writeEvents(w http.ResponseWriter, line etcdEvents) {
	_ = json.NewEncoder(w).Encode(line)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
