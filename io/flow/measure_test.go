package flow_test

import (
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"endivehitch/core/value"
)

const (
	shortWork    = 200 * time.Millisecond
	longWork     = 50 * shortWork
	shortTimeout = 2 * time.Second
	// stragglerSeeds is the number of seeds, each of which gives another stream of requests.
	stragglerSeeds = 4
	longTimeout    = 10 * time.Minute
)

// inVirtualTime runs the function in a synctest bubble and on one processor, so that each run gives
// the same figures. It runs as a test, because synctest accepts only a *testing.T.
func inVirtualTime(b *testing.B, do func()) {
	b.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{
		{Name: b.Name(), F: func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				do()
				// Virtual time stops once this function returns, so it waits until the timers of the
				// remaining goroutines have fired.
				time.Sleep(time.Minute)
			})
		}},
	})
	if !ok {
		b.Fatal("measurement failed")
	}
}

// capacity returns how many short requests the servers can complete in a second.
func (d deployment) capacity() float64 {
	return float64(d.servers*serverSlots) / shortWork.Seconds()
}

// steady returns a stream of short requests that use the given share of the capacity.
func steady(capacity float64, load float64) requestStream {
	return requestStream{until: time.Minute, perSecond: load * capacity, kind: "short", account: "ward-9", work: shortWork, timeout: longTimeout}
}

func normalSpeed(value.ServerID) float64 { return 1 }

// withSlowServers returns the factor by which each server is slowed down: for the first ten seconds,
// none is; after that, a tenth of the servers take ten times as long. Each period has other slow
// servers than the one before.
func (d deployment) withSlowServers(period time.Duration) func(value.ServerID) float64 {
	began := time.Now()
	return func(id value.ServerID) float64 {
		since := time.Since(began) - 10*time.Second
		if since < 0 {
			return 1
		}
		for i := range d.servers / 10 {
			if id == serverName((int(since/period)*3+i*7)%d.servers) {
				return 10
			}
		}
		return 1
	}
}

func p99(results []requestResult, matches func(requestResult) bool) time.Duration {
	var latencies []time.Duration
	for _, r := range results {
		if matches(r) && r.err == nil {
			latencies = append(latencies, r.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(math.Ceil(float64(len(latencies))*0.99))-1]
}

func mean(results []requestResult, matches func(requestResult) bool) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range results {
		if matches(r) && r.err == nil {
			sum += r.latency
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}

func count(results []requestResult, matches func(requestResult) bool) float64 {
	n := 0
	for _, r := range results {
		if matches(r) {
			n++
		}
	}
	return float64(n)
}

func arrivedAfter(from time.Duration) func(requestResult) bool {
	return func(r requestResult) bool { return r.arrival >= from }
}

// ofKind matches the requests of a kind that arrive after the first five seconds.
func ofKind(k value.KindName) func(requestResult) bool {
	return func(r requestResult) bool { return r.kind == k && r.arrival >= 5*time.Second }
}

// variant is a way to serve requests: the flow in some configuration, or a baseline.
type variant struct {
	name     string
	newServe func(d deployment, sim *simulation) serveFunc
}

// newFlowVariant returns a variant of the flow whose configuration the function has edited; nil
// leaves it as it is.
func newFlowVariant(edit func(*value.Document)) func(d deployment, sim *simulation) serveFunc {
	return func(d deployment, sim *simulation) serveFunc {
		document := d.document()
		if edit != nil {
			edit(&document)
		}
		return d.newFlows(sim, document)
	}
}

var (
	defaultFlow    = variant{"Ours", newFlowVariant(nil)}
	leastLoaded    = variant{"LeastInFlight", func(d deployment, sim *simulation) serveFunc { return d.newBaseline(sim, leastInFlight) }}
	roundRobinOnly = variant{"RoundRobin", func(d deployment, sim *simulation) serveFunc { return d.newBaseline(sim, roundRobin) }}
)

var variants = []variant{
	defaultFlow,
	{"Probed", func(d deployment, sim *simulation) serveFunc {
		sim.reportInterval = 500 * time.Millisecond
		return d.newFlows(sim, d.document())
	}},
	{"NoHedge", newFlowVariant(func(d *value.Document) { d.Limits.HedgePercent = 0 })},
	{"NoLimit", newFlowVariant(func(d *value.Document) { d.Pools[0].MaxInFlight = 0 })},
	leastLoaded,
	roundRobinOnly,
	{"FIFO", func(d deployment, sim *simulation) serveFunc { return d.withFIFO(d.newBaseline(sim, leastInFlight)) }},
}

// measureAll runs the measurement for every deployment and variant, and reports its metrics.
func measureAll(b *testing.B, selected []variant, do func(size deployment, tested variant) map[string]float64) {
	b.Helper()
	for _, size := range deployments {
		for _, each := range selected {
			b.Run(size.name+"/"+each.name, func(b *testing.B) {
				var metrics map[string]float64
				for range b.N {
					inVirtualTime(b, func() { metrics = do(size, each) })
				}
				for unit, v := range metrics {
					b.ReportMetric(v, strings.ReplaceAll(unit, " ", "_"))
				}
			})
		}
	}
}

// BenchmarkMeasureStragglers measures the p99 latency with a tenth of the servers ten times slower,
// relative to that without slow servers, and the attempts in excess of the requests.
func BenchmarkMeasureStragglers(b *testing.B) {
	measureAll(b, variants, func(size deployment, tested variant) map[string]float64 {
		stream := steady(size.capacity(), 0.5)
		stream.until = 25 * time.Second
		metrics := make(map[string]float64)
		// The worst value of all seeds is reported.
		for seed := range uint64(stragglerSeeds) {
			without := size.simulate(tested.newServe(size, newSimulation(size.servers, normalSpeed)), seed, stream)
			for name, period := range map[string]time.Duration{"lasting": time.Hour, "brief": 5 * time.Second} {
				slowSim := newSimulation(size.servers, size.withSlowServers(period))
				with := size.simulate(tested.newServe(size, slowSim), seed, stream)
				recordWorst(metrics, name+" p99 ratio (goal 1.3)", ratio(p99(with, arrivedAfter(10*time.Second)), p99(without, arrivedAfter(10*time.Second))))
				recordWorst(metrics, name+" extra runs % (goal 5)", 100*(float64(slowSim.attempts)/float64(len(with))-1))
			}
		}
		return metrics
	})
}

func recordWorst(metrics map[string]float64, unit string, v float64) {
	metrics[unit] = max(metrics[unit], v)
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(max(1, b))
}

// BenchmarkMeasurePeak measures a peak of three times the capacity for ten seconds. One client
// account causes it while another one stays within its share.
func BenchmarkMeasurePeak(b *testing.B) {
	const from, until = 10 * time.Second, 20 * time.Second
	measureAll(b, variants, func(size deployment, tested variant) map[string]float64 {
		capacity := size.capacity()
		quiet := requestStream{until: 30 * time.Second, perSecond: 0.3 * capacity, kind: "short", account: "ward-9", work: shortWork, timeout: shortTimeout}
		flood := requestStream{from: from, until: until, perSecond: 2.7 * capacity, kind: "short", account: "ward-12", work: shortWork, timeout: shortTimeout}
		results := size.simulate(tested.newServe(size, newSimulation(size.servers, normalSpeed)), 1, quiet, flood)
		good := count(results, func(r requestResult) bool {
			end := r.arrival + r.latency
			return r.err == nil && end >= from && end < until
		})
		return map[string]float64{
			"goodput of capacity (goal 0.95)": good / (capacity * (until - from).Seconds()),
			"refused inside share % (goal 0)": 100 * failedShare(results, func(r requestResult) bool { return r.account == "ward-9" }),
			"recovery s (goal 2)":             recovery(results, until).Seconds(),
			"p99 inside share in the crest s": p99(results, func(r requestResult) bool { return r.account == "ward-9" && r.arrival >= from && r.arrival < until }).Seconds(),
		}
	})
}

// failedShare returns the share of the matching requests that failed.
func failedShare(results []requestResult, matches func(requestResult) bool) float64 {
	failed := count(results, func(r requestResult) bool { return matches(r) && r.err != nil })
	return failed / max(1, count(results, matches))
}

// recovery returns how long after the end of the peak the last request arrived that failed or took
// longer than twice the p99 before the peak.
func recovery(results []requestResult, end time.Duration) time.Duration {
	normal := p99(results, func(r requestResult) bool { return r.arrival >= 5*time.Second && r.arrival < 10*time.Second })
	var last time.Duration
	for _, r := range results {
		if r.arrival >= end && (r.err != nil || r.latency > 2*normal) {
			last = max(last, r.arrival-end)
		}
	}
	return last
}

// BenchmarkMeasureLong measures the latency of short and long requests when one in twenty is fifty
// times longer.
func BenchmarkMeasureLong(b *testing.B) {
	measureAll(b, variants, func(size deployment, tested variant) map[string]float64 {
		// Both streams together use six tenths of the capacity, which counts short requests: a long one
		// takes as much as fifty of them.
		perSecond := 0.6 * size.capacity() / (0.95 + 0.05*50)
		short := requestStream{until: time.Minute, perSecond: 0.95 * perSecond, kind: "short", account: "ward-9", work: shortWork, timeout: longTimeout}
		long := requestStream{until: time.Minute, perSecond: 0.05 * perSecond, kind: "long", account: "ward-9", work: longWork, timeout: longTimeout}
		without := size.simulate(tested.newServe(size, newSimulation(size.servers, normalSpeed)), 1, short)
		with := size.simulate(tested.newServe(size, newSimulation(size.servers, normalSpeed)), 1, short, long)
		return map[string]float64{
			"short p99 ratio (goal 1.5)":       ratio(p99(with, ofKind("short")), p99(without, ofKind("short"))),
			"long mean of its work (goal 1.2)": ratio(mean(with, ofKind("long")), longWork),
		}
	})
}

// BenchmarkMeasurePrefix measures how many attempts find their prompt's prefix cached, and the
// latency.
func BenchmarkMeasurePrefix(b *testing.B) {
	measureAll(b, []variant{defaultFlow, leastLoaded, roundRobinOnly}, func(size deployment, tested variant) map[string]float64 {
		stream := steady(size.capacity(), 0.5)
		stream.prefixes = 6 * size.servers
		sim := newSimulation(size.servers, normalSpeed)
		results := size.simulate(tested.newServe(size, sim), 1, stream)
		return map[string]float64{
			"hits %":  100 * float64(sim.cacheHits) / float64(sim.attempts),
			"p99 s":   p99(results, arrivedAfter(5*time.Second)).Seconds(),
			"mean ms": 1000 * mean(results, arrivedAfter(5*time.Second)).Seconds(),
		}
	})
}

// BenchmarkMeasureShare measures the attempts and the latency when many callers send the same
// request at once.
func BenchmarkMeasureShare(b *testing.B) {
	measureAll(b, []variant{defaultFlow, leastLoaded, roundRobinOnly}, func(size deployment, tested variant) map[string]float64 {
		burst := requestStream{until: time.Second, perSecond: 4 * size.capacity(), kind: "same", account: "ward-9", work: shortWork, timeout: shortTimeout}
		sim := newSimulation(size.servers, normalSpeed)
		results := size.simulate(tested.newServe(size, sim), 1, burst)
		return map[string]float64{
			"runs for each 100 requests": 100 * float64(sim.attempts) / float64(len(results)),
			"failed %":                   100 * failedShare(results, arrivedAfter(0)),
			"p99 s":                      p99(results, arrivedAfter(0)).Seconds(),
		}
	})
}
