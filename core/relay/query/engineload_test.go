package query_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

const modelLength = time.Minute

// loadPattern is a named pattern of load.
type loadPattern struct {
	name      string
	instances int
	// perSecond is the number of requests a second of all instances, and popular the share of those with the same part.
	perSecond, popular float64
	// crest multiplies the requests in the middle third, at instances of the failure domain crestAt or, if empty, at all.
	crest   float64
	crestAt relay.FailureDomain
	// memory is the number of tokens that each server holds. If unshared is set, prompts have no shared parts.
	memory   int
	unshared bool
	// exchange is the interval of the load reports. If it is oldReport, answers carry none and all servers have one speed.
	exchange             time.Duration
	reportsStop, restart time.Duration
	// maxBusiest bounds the requests of the busiest server over the mean, and maxRatio the late requests and pauses over
	// those of the previous decision.
	maxBusiest, maxRatio float64
}

const (
	// notWorse and spareShare, a share of all requests, allow for what other draws of the same decision change: one long
	// prompt delays all streams of a server at once, so few such events decide.
	notWorse   = 1.1
	spareShare = 0.01
	// clearlyBetter is the ratio that patterns keep for which the costs of engines were brought in.
	clearlyBetter = 0.75
	oldReport     = 900 * time.Millisecond
)

var loadPatterns = []loadPattern{
	// Guards against the speed of servers being ignored.
	{name: "three speeds", perSecond: 30, maxRatio: clearlyBetter},
	// Guards against long prompts of one domain's wave being read where many streams run.
	{name: "wave by failure domain", perSecond: 22, crest: 2.5, crestAt: "d1", maxRatio: clearlyBetter},
	// Guards against shared parts being counted on that the requests' memory has replaced.
	{name: "memory before slots", perSecond: 20, memory: 24000, maxRatio: clearlyBetter},
	// Guards against a popular part's requests all waiting for the servers that hold it.
	{name: "popular part", perSecond: 30, popular: 0.33, maxRatio: clearlyBetter},
	// Guards against instances with the same old report choosing the same server. Shared parts are left out, since the hash
	// spreads them unevenly whatever the reports say.
	{name: "80 instances", perSecond: 30, instances: 80, unshared: true, exchange: oldReport, maxBusiest: 1.3, maxRatio: notWorse},
	// Guards against old reports outweighing the holders of shared parts.
	{name: "80 instances, shared parts", perSecond: 30, instances: 80, exchange: oldReport, maxRatio: notWorse},
	// Guards against a server's speed being forgotten with its reports.
	{name: "reports stop", perSecond: 30, reportsStop: modelLength / 3, maxRatio: clearlyBetter},
	// Guards against an instance that knows nothing filling slow servers.
	{name: "restart at the peak", perSecond: 22, crest: 1.5, restart: modelLength / 2, maxRatio: clearlyBetter},
}

// knownWorse is measured and not checked: the estimate doesn't know that the slots of the fast servers
// run out, and their requests wait for one.
var knownWorse = loadPattern{name: "slots of fast servers run out", perSecond: 50, unshared: true}

func (p loadPattern) rate(clock time.Duration, domain relay.FailureDomain) float64 {
	if p.crest > 0 && clock >= modelLength/3 && clock < modelLength*2/3 && (p.crestAt == "" || p.crestAt == domain) {
		return p.perSecond * p.crest
	}
	return p.perSecond
}

// request returns a request for one of 40 shared parts, with 200 to 8,200 tokens of its own, most of them few.
func (p loadPattern) request(rnd *rand.Rand) *modelStream {
	c := query.Criteria{Service: "engine", PrefillTime: 60 * time.Microsecond, Gap: modelGap}
	if c.OwnTokens = 200 + int(8000*rnd.Float64()*rnd.Float64()*rnd.Float64()); !p.unshared {
		c.Shared, c.SharedTokens = fmt.Sprint("part", rnd.IntN(40)), modelShared
	}
	if rnd.Float64() < p.popular {
		c.Shared = "popular"
	}
	left := time.Second + time.Duration(rnd.Int64N(int64(4*time.Second)))
	return &modelStream{criteria: c, left: left, tokens: c.OwnTokens + int(left/(20*time.Millisecond))}
}

// newModelRun returns a run of the pattern with 12 servers in three failure domains.
func newModelRun(p loadPattern, service relay.Service, seed uint64) *modelRun {
	p.instances, p.memory, p.exchange = cmp.Or(p.instances, 6), cmp.Or(p.memory, 100000), cmp.Or(p.exchange, 300*time.Millisecond)
	m := &modelRun{
		pattern: p, engines: map[relay.ServerID]*modelEngine{},
		traffic: rand.New(rand.NewPCG(seed, 1)), draws: rand.New(rand.NewPCG(seed, 2)),
	}
	domains := []relay.FailureDomain{"d1", "d2", "d3"}
	entries := []relay.Entry{{Config: &relay.Config{Version: 1, Services: []relay.Service{service}}}}
	for n := range 12 {
		e := serverOf(relay.ServerID(fmt.Sprint("s", n)), "v1")
		e.Server.Domain, e.Server.Slots = domains[n/3%3], 24
		entries, m.order = append(entries, e), append(m.order, e.Server.ID)
		m.engines[e.Server.ID] = &modelEngine{slots: e.Server.Slots, factor: []float64{0.6, 1, 1.6}[n%3], memory: p.memory}
		if p.exchange == oldReport {
			m.engines[e.Server.ID].factor = 1
		}
	}
	state := stateOf(entries...)
	for n := range p.instances {
		state.Self.Domain = domains[n%3]
		m.instances = append(m.instances, &modelInstance{state: state, loads: map[relay.ServerID]relay.Load{}})
	}
	return m
}

// comparison adds up the runs of the previous decision and of the present one for the same traffic.
type comparison struct {
	// late counts the requests whose first event came after the accepted gap, and paused those with a longer pause.
	late, paused, p99 [2]float64
	requests, busiest float64
}

func compare(p loadPattern) comparison {
	const seeds = 3
	var c comparison
	for n, service := range []relay.Service{{Name: "engine", Engine: true}, {Name: "engine", Engine: true, KVTokens: 100000}} {
		for seed := range uint64(seeds) {
			m := newModelRun(p, service, seed+1)
			m.run()
			inTime, _ := slices.BinarySearch(m.firsts, modelGap+1)
			c.requests += float64(len(m.firsts)) / 2
			c.late[n] += float64(len(m.firsts) - inTime)
			c.paused[n] += float64(m.paused)
			c.p99[n] += m.firsts[len(m.firsts)*99/100].Seconds() / seeds
			c.busiest = max(c.busiest, m.busiest*float64(n))
		}
	}
	return c
}

func TestEngineSelectionUnderLoad(t *testing.T) {
	for _, p := range loadPatterns {
		t.Run(p.name, func(t *testing.T) {
			c := compare(p)
			spare := 0.0
			if p.maxRatio == notWorse {
				spare = c.requests * spareShare
			}
			assert.Assert(t, c.late[1] <= p.maxRatio*c.late[0]+spare, "late first events: %v", c.late)
			assert.Assert(t, c.paused[1] <= p.maxRatio*c.paused[0]+spare, "late pauses: %v", c.paused)
			assert.Assert(t, c.p99[1] <= notWorse*c.p99[0], "p99 of the first event in s: %v", c.p99)
			assert.Assert(t, p.maxBusiest == 0 || c.busiest <= p.maxBusiest, "busiest over mean: %.2f", c.busiest)
		})
	}
}

// BenchmarkMeasureEngineSelection measures the p99 of the first event, late first events and late pauses, each over that of
// the previous decision, and the requests of the busiest server over the mean.
func BenchmarkMeasureEngineSelection(b *testing.B) {
	for _, p := range append(loadPatterns, knownWorse) {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				c := compare(p)
				b.ReportMetric(c.p99[1]/c.p99[0], "p99-ratio")
				b.ReportMetric(c.late[1]/max(1, c.late[0]), "late-ratio")
				b.ReportMetric(c.paused[1]/max(1, c.paused[0]), "pause-ratio")
				b.ReportMetric(c.busiest, "busiest/mean")
			}
		})
	}
}
