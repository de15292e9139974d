package faults

import (
	"time"

	"endivehitch/core/value"
)

// Names in the scenario's configuration documents; a document's stored text is its name.
const (
	environment   = value.Environment("production")
	smallVersion  = value.VersionKey("drafting-llm/small")
	nextVersion   = value.VersionKey("drafting-llm/next")
	rollOut       = value.RollOutName("to-next")
	leavingServer = value.ServerID("engine-1")
	bothVersions  = value.AccountName("ward-12")
	smallOnly     = value.AccountName("ward-9")
	spelling      = value.KindName("spelling")
	reorder       = value.KindName("reorder")
	firstDocument = "first"
	nextDocument  = "second"
	otherDocument = "third"
)

func scenarioDocument(name string) value.Document {
	kinds := []value.KindName{spelling, reorder}
	return value.Document{
		Name: name,
		ClientAccounts: []value.ClientAccount{
			{Name: bothVersions, Share: 1, Versions: []value.VersionKey{smallVersion, nextVersion}, Kinds: kinds},
			{Name: smallOnly, Share: 1, Versions: []value.VersionKey{smallVersion}, Kinds: kinds},
		},
		Kinds: []value.Kind{
			{Name: spelling, Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3},
			{Name: reorder, Service: "desk", Priority: value.PriorityInteractive, MaxAttempts: 3},
		},
		Models: []value.Model{{Name: "drafting-llm", Versions: []value.Version{
			{Name: "small", OutputMicros: 1000, Quality: 0.9},
			{Name: "next", OutputMicros: 800, Quality: 0.9},
		}}},
		Pools:    []value.Pool{{Name: "engines", MaxInFlight: 1}, {Name: "desks", MaxInFlight: 4}},
		Services: []value.Service{{Name: "desk", Pool: "desks"}},
		RollOuts: []value.RollOut{{
			Name: rollOut, Model: "drafting-llm", From: "small", To: "next", MaxErrorRate: 0.9,
			Stages: []value.Stage{{Percent: 50}, {Percent: 100}},
		}},
		Limits: value.Limits{QueueLength: 100, RetryPercent: 50, HedgePercent: 5},
	}
}

func backendServers() []value.BackendServer {
	both := []value.VersionKey{smallVersion, nextVersion}
	return []value.BackendServer{
		{ID: leavingServer, Pool: "engines", State: value.ServerLive, Versions: both},
		{ID: "engine-2", Pool: "engines", State: value.ServerLive, Versions: both},
		{ID: "engine-3", Pool: "engines", State: value.ServerLive, Versions: both},
		{ID: "desk-1", Pool: "desks", State: value.ServerLive},
		{ID: "desk-2", Pool: "desks", State: value.ServerLive},
	}
}

// ScenarioBounds returns the bounds that the scenario's fleet must keep.
func ScenarioBounds() Bounds {
	return Bounds{
		ConfigDelay:  15 * time.Second,
		LeavingDelay: 5 * time.Second,
		AllowedVersions: map[value.AccountName][]value.VersionKey{
			bothVersions: {smallVersion, nextVersion},
			smallOnly:    {smallVersion},
		},
		AnswerText: func(r value.Request) string {
			if r.Key != "" {
				return "answer to " + string(r.Key)
			}
			return "answer to " + string(r.ID)
		},
	}
}
