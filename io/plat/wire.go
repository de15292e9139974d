package plat

// The wire types are the gateway's messages, as published for etcd v3: keys and values are in
// base64, and 64-bit numbers are strings.

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireEntry struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

func (w wireEntry) entry() Entry {
	return Entry{Key: string(w.Key), Value: w.Value, Revision: w.ModRevision, Lease: LeaseID(w.Lease)}
}

type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"rangeEnd,omitempty"`
}

// answer is the body of an answer. Without the fields that all answers to its call have, the answer to another call would be read
// as an empty one to this call.
type answer interface {
	isComplete() bool
}

type wireListing struct {
	Header *wireHeader `json:"header"`
	Kvs    []wireEntry `json:"kvs"`
}

func (w wireListing) isComplete() bool { return w.Header != nil }

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"modRevision,string"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type wireOp struct {
	Put    *wirePut   `json:"requestPut,omitempty"`
	Delete *wireRange `json:"requestDeleteRange,omitempty"`
	Range  *wireRange `json:"requestRange,omitempty"`
}

type wireTxn struct {
	Compare []wireCompare `json:"compare"`
	Success []wireOp      `json:"success"`
	Failure []wireOp      `json:"failure"`
}

type wireTxnResult struct {
	Header    *wireHeader `json:"header"`
	Succeeded bool        `json:"succeeded"`
	Responses []struct {
		Range wireListing `json:"response_range"`
	} `json:"responses"`
}

// isComplete reports whether the change was made, or the present entry is named.
func (w wireTxnResult) isComplete() bool {
	return w.Header != nil && (w.Succeeded || len(w.Responses) > 0)
}

type wireLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

func (w wireLease) isComplete() bool { return w.ID != 0 }

// wireKeepAlive has no TTL if the lease is lost.
type wireKeepAlive struct {
	Result wireLease `json:"result"`
}

func (w wireKeepAlive) isComplete() bool { return w.Result.isComplete() }

type wireRevoked struct {
	Header *wireHeader `json:"header"`
}

func (w wireRevoked) isComplete() bool { return w.Header != nil }

type wireWatch struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"rangeEnd,omitempty"`
		StartRevision int64  `json:"startRevision,omitempty,string"`
	} `json:"createRequest"`
}

type wireEvents struct {
	Result struct {
		Created         bool  `json:"created"`
		Canceled        bool  `json:"canceled"`
		CompactRevision int64 `json:"compact_revision,string"`
		Events          []struct {
			Type string    `json:"type"`
			Kv   wireEntry `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *gatewayError `json:"error"`
}

// prefixEnd returns the end, exclusive, of the range of keys with the prefix; one zero byte means
// that the range has no end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// rangeKey returns the start of the range of keys with the prefix; one zero byte stands for the
// empty prefix.
func rangeKey(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
