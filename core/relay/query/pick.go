package query

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// Loads looks up what the instance has observed of a backend server.
type Loads func(relay.ServerID) relay.Load

// Want says what a server is wanted for.
type Want struct {
	Service relay.ServiceName
	// Release is the release that must run the request; empty means any.
	Release relay.Release
	// Tried lists the servers that this request has already used.
	Tried []relay.ServerID
	// Shared is the identifier of the prompt's deepest shared part; empty means none.
	Shared string
	// SharedTokens is the length of all parts up to that one.
	SharedTokens int
	// ReadTime is the time that the model reads one prompt token in.
	ReadTime time.Duration
}

// Choice is the server chosen, among how many, and why.
type Choice struct {
	Server     relay.Server
	Candidates int
	// Home is set when the server was chosen because it should have the prompt's shared part cached.
	Home bool
	// Score is the expected wait in the terms of Pick, in milliseconds for engines.
	Score float64
}

const (
	// homes is how many servers may keep the same shared part.
	homes = 2
	// samples is how many other servers are compared.
	samples = 3
	// slotMs is the expected delay that each running request adds to an engine's answer, in milliseconds.
	slotMs = 4.0
	// reportLife is the age at which a server's report counts no more.
	reportLife = time.Second
	// farMs and farFactor are the cost of leaving the instance's own failure domain.
	farMs     = 6.0
	farFactor = 1.1
	// badWeight multiplies a server's share of failures into its score.
	badWeight = 8.0
	usualPace = 100.0
)

// Pick chooses a server; it reports false when there is none that the request hasn't tried.
func Pick(s relay.State, w Want, loads Loads, rnd policy.Rand, now time.Time) (Choice, bool) {
	service, _ := s.Service(w.Service)
	p := picker{state: s, want: w, loads: loads, now: now, engine: service.Engine}
	usable := p.usable()
	if len(usable) == 0 {
		return Choice{}, false
	}
	best, score := relay.Server{}, policy.Never
	for _, server := range p.candidates(usable, rnd) {
		if v := p.score(server); v < score {
			best, score = server, v
		}
	}
	return Choice{Server: best, Candidates: len(usable), Home: p.isHome(best.ID), Score: score}, true
}

type picker struct {
	state  relay.State
	want   Want
	loads  Loads
	now    time.Time
	engine bool
	home   [homes]relay.ServerID
}

// usable lists the servers that may take the request; shunned ones only when there is no other.
func (p *picker) usable() []relay.Server {
	all := p.state.Servers(p.want.Service)
	good := make([]relay.Server, 0, len(all))
	var shunned []relay.Server
	for _, v := range all {
		if v.Draining || (p.want.Release != "" && v.Release != p.want.Release) || slices.Contains(p.want.Tried, v.ID) {
			continue
		}
		if p.loads(v.ID).Shunned.After(p.now) {
			shunned = append(shunned, v)
			continue
		}
		good = append(good, v)
	}
	if len(good) == 0 {
		return shunned
	}
	return good
}

// candidates are the homes of the prompt's shared part and a few random servers; comparing all
// would send every instance with the same reports to the same server.
func (p *picker) candidates(usable []relay.Server, rnd policy.Rand) []relay.Server {
	chosen := make([]relay.Server, 0, homes+samples)
	if p.want.Shared != "" {
		ranked := slices.Clone(usable)
		slices.SortFunc(ranked, func(a, b relay.Server) int { return cmp.Compare(p.weight(b.ID), p.weight(a.ID)) })
		for i := range min(homes, len(ranked)) {
			p.home[i] = ranked[i].ID
			chosen = append(chosen, ranked[i])
		}
	}
	for range samples {
		chosen = append(chosen, usable[rnd.IntN(len(usable))])
	}
	return chosen
}

func (p *picker) weight(id relay.ServerID) uint64 {
	return xxhash.Sum64String(string(id) + "/" + p.want.Shared)
}

func (p *picker) isHome(id relay.ServerID) bool {
	return p.want.Shared != "" && slices.Contains(p.home[:], id)
}

func (p *picker) score(v relay.Server) float64 {
	l := p.loads(v.ID)
	if p.engine {
		return p.engineWait(v, l)
	}
	wait := p.occupancy(v, l) + 1/float64(max(1, v.Slots))
	if v.Domain != p.state.Self.Domain {
		wait *= farFactor
	}
	return wait * p.slowness(l)
}

// engineWait is the expected time to the first event, in milliseconds.
func (p *picker) engineWait(v relay.Server, l relay.Load) float64 {
	wait := slotMs*p.occupancy(v, l)*float64(max(1, v.Slots)) + milliseconds(l.Work)
	if p.want.Shared != "" {
		reading := milliseconds(time.Duration(p.want.SharedTokens) * p.want.ReadTime)
		switch v.ID {
		case p.home[0]:
		case p.home[1]:
			wait += reading / 2
		default:
			wait += reading
		}
	}
	if v.Domain != p.state.Self.Domain {
		wait += farMs
	}
	return (wait + 1) * p.slowness(l)
}

// occupancy is the share of the server's slots in use; a fresh report tells of other instances' work too.
func (p *picker) occupancy(v relay.Server, l relay.Load) float64 {
	busy := float64(l.InFlight)
	if age := p.now.Sub(l.Reported); !l.Reported.IsZero() && age < reportLife {
		busy = max(busy, float64(l.Report.Running+l.Report.Waiting)*(1-float64(age)/float64(2*reportLife)))
	}
	return busy / float64(max(1, v.Slots))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func (p *picker) slowness(l relay.Load) float64 {
	slow := 1 + badWeight*l.BadShare(p.now)
	if l.Report.Pace > 0 && p.now.Sub(l.Reported) < reportLife {
		slow *= math.Max(1, float64(l.Report.Pace)/usualPace)
	}
	return slow
}
