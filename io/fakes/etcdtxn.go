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

type etcdTxnDone struct {
	Header    etcdHeader      `json:"header"`
	Succeeded bool            `json:"succeeded,omitempty"`
	Responses []etcdTxnAnswer `json:"responses,omitempty"`
}

type etcdTxnAnswer struct {
	Range *etcdListing `json:"response_range,omitempty"`
}

var errUnsupportedTxn = errors.New("stand-in takes one comparison of a modification revision and one change")

// put is unconditional, as the path is: it swaps until no other writer comes between.
func (g Etcd) put(r *http.Request, q etcdPut) (etcdListing, error) {
	for {
		e, err := g.Store.Get(r.Context(), string(q.Key))
		if err != nil {
			return etcdListing{}, err
		}
		revision, err := g.Store.Swap(r.Context(), plat.Swap{Key: e.Key, Expect: e.Revision, Value: q.Value, Lease: plat.LeaseID(q.Lease)})
		var conflict plat.Conflict
		if errors.As(err, &conflict) {
			continue
		}
		return etcdListing{Header: etcdHeader{Revision: revision}}, err
	}
}

func (g Etcd) transact(r *http.Request, q etcdTxn) (etcdTxnDone, error) {
	if len(q.Compare) != 1 || len(q.Success) != 1 || q.Compare[0].Target != "MOD" || q.Compare[0].Result != "EQUAL" {
		return etcdTxnDone{}, errUnsupportedTxn
	}
	var revision int64
	var err error
	switch op := q.Success[0]; {
	case op.Put != nil:
		revision, err = g.Store.Swap(r.Context(), plat.Swap{
			Key:    string(op.Put.Key),
			Expect: q.Compare[0].ModRevision,
			Value:  op.Put.Value,
			Lease:  plat.LeaseID(op.Put.Lease),
		})
	case op.Delete != nil:
		err = g.Store.Delete(r.Context(), string(op.Delete.Key), q.Compare[0].ModRevision)
	default:
		err = errUnsupportedTxn
	}
	var conflict plat.Conflict
	if errors.As(err, &conflict) {
		present := listing(plat.Listing{Entries: []plat.Entry{conflict.Present}})
		return etcdTxnDone{Responses: []etcdTxnAnswer{{Range: &present}}}, nil
	}
	return etcdTxnDone{Header: etcdHeader{Revision: revision}, Succeeded: err == nil}, err
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
	var q etcdWatch
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		refuse(w, http.StatusBadRequest, 3, err)
		return
	}
	events, err := g.Store.Watch(r.Context(), prefixOf(q.Create.Key), q.Create.StartRevision)
	if errors.Is(err, plat.ErrCompacted) {
		var gone etcdEvents
		gone.Result.Canceled = true
		gone.Result.CompactRevision = q.Create.StartRevision
		sendLine(w, gone)
		return
	}
	if err != nil {
		fail(w, err)
		return
	}
	var opened etcdEvents
	opened.Result.Created = true
	sendLine(w, opened)
	for e := range events {
		var next etcdEvents
		next.Result.Events = []etcdEvent{{Kv: wireOf(e.Entry)}}
		if e.Deleted {
			next.Result.Events[0].Type = "DELETE"
		}
		sendLine(w, next)
	}
}

// sendLine sends one line of a stream at once.
func sendLine(w http.ResponseWriter, line etcdEvents) {
	_ = json.NewEncoder(w).Encode(line)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
