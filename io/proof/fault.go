package proof

import (
	"net/http"
	"time"

	"endivehitch/io/fakes"
)

// Fault is one way in which the surroundings fail.
type Fault struct {
	Name string
	// Lasts is how long the fault is in force.
	Lasts time.Duration
	// Begin brings the fault about at the instance that reached the step; it must not block.
	Begin func(f *Fleet, at *node)
	// End heals the fault.
	End func(f *Fleet, at *node)
	// Absent returns why the fault can't exist at the step, or nothing.
	Absent func(s Step) string
}

// outage is how long most faults last.
const outage = 6 * time.Second

func anywhere(Step) string { return "" }

func streaming(s Step) string {
	if !s.Streams() {
		return "no answer is under way at the step"
	}
	return ""
}

func changing(s Step) string {
	if !s.Changes() {
		return "no change of the document is under way at the step"
	}
	return ""
}

// ofServers is a fault of backend servers while it lasts.
func ofServers(name string, b Behaviour, absent func(Step) string) Fault {
	return Fault{
		Name: name, Lasts: outage, Absent: absent,
		Begin: func(f *Fleet, _ *node) { f.behave(name, b) },
		End:   func(f *Fleet, _ *node) { f.behave(name, Behaviour{}) },
	}
}

// ofStore is a fault of the key-value service while it lasts.
func ofStore(name string, set func(fakes.Faults, bool) fakes.Faults) Fault {
	return Fault{
		Name: name, Lasts: outage, Absent: anywhere,
		Begin: func(f *Fleet, _ *node) { f.setStore(func(s fakes.Faults) fakes.Faults { return set(s, true) }) },
		End:   func(f *Fleet, _ *node) { f.setStore(func(s fakes.Faults) fakes.Faults { return set(s, false) }) },
	}
}

func nothing(*Fleet, *node) {}

// Faults lists the faults.
func Faults() []Fault {
	return append(serverFaults(), append(storeFaults(), instanceFaults()...)...)
}

func serverFaults() []Fault {
	reset := ofServers("ServerResets", Behaviour{Dead: true}, streaming)
	reset.Lasts = pieceTime / 2
	return []Fault{
		ofServers("ServerDies", Behaviour{Dead: true, Only: leavingServer}, anywhere),
		reset,
		ofServers("ServerStalls", Behaviour{Stall: true, Only: "engine-2"}, anywhere),
		ofServers("ServersLate", Behaviour{Late: 2 * time.Second}, anywhere),
		ofServers("AnswersAnothers", Behaviour{Another: true}, anywhere),
		ofServers("ServersRefuse", Behaviour{Unsent: true}, anywhere),
		ofServers("VersionTurnsBad", Behaviour{Status: http.StatusInternalServerError, Version: nextVersion}, anywhere),
		ofServers("PoolRunsOut", Behaviour{Status: http.StatusServiceUnavailable}, anywhere),
	}
}

func storeFaults() []Fault {
	return []Fault{
		ofStore("StoreDown", func(s fakes.Faults, on bool) fakes.Faults { return s.WithDown(on) }),
		ofStore("StoreSlow", func(s fakes.Faults, on bool) fakes.Faults {
			if !on {
				return s.WithDelay(0)
			}
			return s.WithDelay(3 * time.Second)
		}),
		ofStore("StoreStale", func(s fakes.Faults, on bool) fakes.Faults { return s.WithStale(on) }),
		ofStore("StoreLosesAnswers", func(s fakes.Faults, on bool) fakes.Faults {
			if !on {
				return s.WithLostAnswers(0)
			}
			return s.WithLostAnswers(3)
		}),
		{
			Name: "TwoOperators", Absent: changing, End: nothing,
			Begin: func(f *Fleet, _ *node) { f.background(func() { f.apply(otherDocument) }) },
		},
	}
}

func instanceFaults() []Fault {
	return []Fault{
		{Name: "InstanceKilled", Begin: func(_ *Fleet, n *node) { n.kill() }, End: nothing, Absent: anywhere},
		{
			Name: "InstanceReplaced", End: nothing, Absent: anywhere,
			Begin: func(f *Fleet, n *node) {
				n.kill()
				f.background(f.replace)
			},
		},
		{
			Name: "InstancePaused", Lasts: outage, Absent: anywhere,
			Begin: func(_ *Fleet, n *node) { n.pause() },
			End:   func(_ *Fleet, n *node) { n.resume() },
		},
		{
			Name: "PeersCut", Lasts: outage, Absent: anywhere,
			Begin: func(f *Fleet, _ *node) { f.cut(true) },
			End:   func(f *Fleet, _ *node) { f.cut(false) },
		},
		{
			Name: "ListAway", Lasts: outage, Absent: anywhere,
			Begin: func(f *Fleet, _ *node) { f.list.set(func(l *list) { l.away = true }) },
			End:   func(f *Fleet, _ *node) { f.list.set(func(l *list) { l.away = false }) },
		},
	}
}
