package trace

import (
	"time"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

var findMethod = peer.Method[wireFind, wireFound]{Name: "Trace.Find"}

type wireFind struct {
	Request value.RequestID
}

type wireFound struct {
	Decisions []wireDecision
}

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

func toWire(list []value.Decision) []wireDecision {
	wires := make([]wireDecision, len(list))
	for i, d := range list {
		wires[i] = wireDecision(d)
	}
	return wires
}

func fromWire(wires []wireDecision) []value.Decision {
	list := make([]value.Decision, len(wires))
	for i, w := range wires {
		list[i] = value.Decision(w)
	}
	return list
}
