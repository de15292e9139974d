package lookup

import (
	"time"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

var findMethod = peer.Method[wireFind, wireFound]{Name: "Trace.Find"}

// wireFind is the query for the decisions about a request.
type wireFind struct {
	Request value.RequestID
}

// wireFound is the reply to a wireFind; it is empty if the instance stores no decisions about the
// request.
type wireFound struct {
	Decisions []wireDecision
}

// wireDecision is a value.Decision as it is sent; its fields must match, since one is converted to
// the other.
type wireDecision struct {
	Request    value.RequestID
	Account    value.AccountName
	Kind       value.KindName
	Step       value.Step
	Version    value.VersionKey
	Server     value.ServerID
	Candidates int
	Reason     value.Reason
	CostMicros int64
	Detail     string
	At         time.Time
}

func encodeDecisions(list []value.Decision) []wireDecision {
	wires := make([]wireDecision, len(list))
	for i, d := range list {
		wires[i] = wireDecision(d)
	}
	return wires
}

func decodeDecisions(wires []wireDecision) []value.Decision {
	list := make([]value.Decision, len(wires))
	for i, w := range wires {
		list[i] = value.Decision(w)
	}
	return list
}
