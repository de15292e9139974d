package query

import (
	"math"
	"slices"
	"time"

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
	// homes is how many servers may keep the same shared part, and ranked how many are looked at for them.
	homes  = 2
	ranked = 5
	// samples is how many other servers are compared, of as many as draws.
	samples = 3
	draws   = 8
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
	// coldFactor is how much slower a server is taken to be until it has warmed up.
	coldFactor = 2.0
)

// Pick chooses a server; it reports false when there is none that the request hasn't tried.
func Pick(s relay.State, w Want, loads Loads, rnd policy.Rand, now time.Time) (Choice, bool) {
	service, _ := s.Service(w.Service)
	p := picker{state: s, want: w, loads: loads, now: now, engine: service.Engine}
	p.survey()
	if p.usable == 0 {
		return Choice{}, false
	}
	best, score := relay.Server{}, policy.Never
	for _, server := range p.candidates(rnd) {
		if v := p.score(server); v < score {
			best, score = server, v
		}
	}
	return Choice{Server: best, Candidates: p.usable, Home: p.isHome(best.ID), Score: score}, true
}

type picker struct {
	state  relay.State
	want   Want
	loads  Loads
	now    time.Time
	engine bool
	// usable counts the servers that may take the request, and top holds the heaviest for its shared part.
	usable int
	top    []relay.ServerID
	home   [homes]relay.ServerID
}

// fits reports whether the server may take the request.
func (p *picker) fits(v relay.Server) bool {
	return !v.Draining && (p.want.Release == "" || v.Release == p.want.Release) && !slices.Contains(p.want.Tried, v.ID)
}

func (p *picker) shunned(id relay.ServerID) bool {
	return p.loads(id).EjectedUntil.After(p.now)
}

// survey looks at all servers once, without what was observed of each.
func (p *picker) survey() {
	top := policy.NewTop[relay.ServerID](p.want.Shared, ranked)
	for _, v := range p.state.Servers(p.want.Service) {
		if !p.fits(v) {
			continue
		}
		p.usable++
		if p.want.Shared != "" {
			top.Offer(v.ID)
		}
	}
	p.top = top.Keys()
}

// candidates are the homes of the prompt's shared part and a few random servers; comparing all
// would send every instance with the same reports to the same server. Shunned servers are left out
// unless there is no other.
func (p *picker) candidates(rnd policy.Rand) []relay.Server {
	chosen := make([]relay.Server, 0, homes+samples)
	for _, id := range p.top {
		if v, ok := p.state.Server(id); ok && len(chosen) < homes && !p.shunned(id) {
			p.home[len(chosen)] = id
			chosen = append(chosen, v)
		}
	}
	found := len(chosen)
	for range draws {
		if v := p.drawn(rnd.IntN(p.usable)); len(chosen) < found+samples && !p.shunned(v.ID) {
			chosen = append(chosen, v)
		}
	}
	if len(chosen) > 0 {
		return chosen
	}
	return p.lastResort()
}

// drawn returns the usable server of that number.
func (p *picker) drawn(n int) relay.Server {
	all := p.state.Servers(p.want.Service)
	if p.usable == len(all) {
		return all[n]
	}
	for _, v := range all {
		if !p.fits(v) {
			continue
		}
		if n == 0 {
			return v
		}
		n--
	}
	return relay.Server{}
}

// lastResort lists all usable servers that aren't shunned, or all that are.
func (p *picker) lastResort() []relay.Server {
	var sound, shunned []relay.Server
	for _, v := range p.state.Servers(p.want.Service) {
		switch {
		case !p.fits(v):
		case p.shunned(v.ID):
			shunned = append(shunned, v)
		default:
			sound = append(sound, v)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return shunned
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
	return wait * p.slowness(v, l)
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
	return (wait + 1) * p.slowness(v, l)
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

func (p *picker) slowness(v relay.Server, l relay.Load) float64 {
	slow := 1 + badWeight*l.DecayedFailureRate(p.now)
	if p.now.Before(v.ColdUntil) {
		slow *= coldFactor
	}
	if l.Report.Pace > 0 && p.now.Sub(l.Reported) < reportLife {
		slow *= math.Max(1, float64(l.Report.Pace)/usualPace)
	}
	return slow
}
