package faults

import (
	"net/http"
	"time"

	"endivehitch/io/fakes"
)

// Fault is one failure of an instance or of what it depends on: backend servers, store, network.
type Fault struct {
	Name string
	// Duration is the time from Begin to End.
	Duration time.Duration
	// Begin injects the fault; a fault of one instance affects the one that reached the step. It must
	// not block.
	Begin func(f *Fleet, at *instance)
	// End removes the fault.
	End func(f *Fleet, at *instance)
	// ReasonNotApplicable returns why the fault can't occur at the step, or "" if it can.
	ReasonNotApplicable func(s Step) string
}

// faultDuration is the duration of most faults.
const faultDuration = 6 * time.Second

func noReason(Step) string { return "" }

func reasonOutsideAttempt(s Step) string {
	if !s.IsDuringAttempt() {
		return "no answer is under way at the step"
	}
	return ""
}

func reasonOutsideConfigChange(s Step) string {
	if !s.IsDuringConfigChange() {
		return "no change of the document is under way at the step"
	}
	return ""
}

// newServerFault returns a fault of faultDuration that makes backend servers behave as given.
func newServerFault(name string, behaviour Behaviour, reasonNotApplicable func(Step) string) Fault {
	return Fault{
		Name: name, Duration: faultDuration, ReasonNotApplicable: reasonNotApplicable,
		Begin: func(f *Fleet, _ *instance) { f.setBehaviour(name, behaviour) },
		End:   func(f *Fleet, _ *instance) { f.setBehaviour(name, Behaviour{}) },
	}
}

// newStoreFault returns a fault of the key-value store of faultDuration; set switches it on or off.
func newStoreFault(name string, set func(fakes.StoreFaults, bool) fakes.StoreFaults) Fault {
	return Fault{
		Name: name, Duration: faultDuration, ReasonNotApplicable: noReason,
		Begin: func(f *Fleet, _ *instance) {
			f.updateStoreFaults(func(s fakes.StoreFaults) fakes.StoreFaults { return set(s, true) })
		},
		End: func(f *Fleet, _ *instance) {
			f.updateStoreFaults(func(s fakes.StoreFaults) fakes.StoreFaults { return set(s, false) })
		},
	}
}

func noop(*Fleet, *instance) {}

// Faults returns all faults of the matrix.
func Faults() []Fault {
	return append(serverFaults(), append(storeFaults(), instanceFaults()...)...)
}

func serverFaults() []Fault {
	reset := newServerFault("ServerResets", Behaviour{Reset: true}, reasonOutsideAttempt)
	// Pieces that are due within this time fail; a retry gets its first piece after it.
	reset.Duration = pieceDelay / 2
	return []Fault{
		newServerFault("ServerDies", Behaviour{Reset: true, Server: leavingServer}, noReason),
		reset,
		newServerFault("ServerStalls", Behaviour{Stall: true, Server: "engine-2"}, noReason),
		newServerFault("ServersLate", Behaviour{ExtraDelay: 2 * time.Second}, noReason),
		newServerFault("AnswersAnothers", Behaviour{WrongRequest: true}, noReason),
		newServerFault("ServersRefuse", Behaviour{RefuseConnection: true}, noReason),
		newServerFault("VersionTurnsBad", Behaviour{Status: http.StatusInternalServerError, Version: nextVersion}, noReason),
		newServerFault("PoolRunsOut", Behaviour{Status: http.StatusServiceUnavailable}, noReason),
	}
}

func storeFaults() []Fault {
	return []Fault{
		newStoreFault("StoreDown", func(s fakes.StoreFaults, on bool) fakes.StoreFaults { return s.WithDown(on) }),
		newStoreFault("StoreSlow", func(s fakes.StoreFaults, on bool) fakes.StoreFaults {
			if !on {
				return s.WithDelay(0)
			}
			return s.WithDelay(3 * time.Second)
		}),
		newStoreFault("StoreStale", func(s fakes.StoreFaults, on bool) fakes.StoreFaults { return s.WithStale(on) }),
		newStoreFault("StoreLosesAnswers", func(s fakes.StoreFaults, on bool) fakes.StoreFaults {
			if !on {
				return s.WithLostAnswers(0)
			}
			return s.WithLostAnswers(3)
		}),
		{
			Name: "TwoOperators", ReasonNotApplicable: reasonOutsideConfigChange, End: noop,
			Begin: func(f *Fleet, _ *instance) { f.runInBackground(func() { f.applyDocument(otherDocument) }) },
		},
	}
}

func instanceFaults() []Fault {
	return []Fault{
		{Name: "InstanceKilled", Begin: func(_ *Fleet, n *instance) { n.kill() }, End: noop, ReasonNotApplicable: noReason},
		{
			Name: "InstanceReplaced", End: noop, ReasonNotApplicable: noReason,
			Begin: func(f *Fleet, n *instance) {
				n.kill()
				f.runInBackground(f.startReplacement)
			},
		},
		{
			Name: "InstancePaused", Duration: faultDuration, ReasonNotApplicable: noReason,
			Begin: func(_ *Fleet, n *instance) { n.pause() },
			End:   func(_ *Fleet, n *instance) { n.resume() },
		},
		{
			Name: "PeersCut", Duration: faultDuration, ReasonNotApplicable: noReason,
			Begin: func(f *Fleet, _ *instance) { f.setPeersCut(true) },
			End:   func(f *Fleet, _ *instance) { f.setPeersCut(false) },
		},
		{
			Name: "ListAway", Duration: faultDuration, ReasonNotApplicable: noReason,
			Begin: func(f *Fleet, _ *instance) { f.instanceList.update(func(l *instanceList) { l.unreachable = true }) },
			End:   func(f *Fleet, _ *instance) { f.instanceList.update(func(l *instanceList) { l.unreachable = false }) },
		},
	}
}
