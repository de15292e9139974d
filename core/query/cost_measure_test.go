package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Conditions of the simulation. The rates are the shares of good and of bad answers that get rated;
// no ratings arrive between outageStart and outageEnd.
const (
	goodRatingRate  = 0.05
	badRatingRate   = 0.2
	ratingDelay     = 30 * time.Minute
	simulatedTime   = 48 * time.Hour
	outageStart     = 20 * time.Hour
	outageEnd       = 26 * time.Hour
	costSeeds       = 8
	turnsPerSession = 4
)

// deployment is a simulated deployment with the true quality of each version for each kind.
type deployment struct {
	name        string
	requests    int
	document    value.Document
	trueQuality map[value.KindName]map[value.VersionKey]float64
}

func newDeployment(name string, requests int, targets []float64, seed uint64) deployment {
	rnd := rand.New(rand.NewPCG(seed, uint64(requests)))
	judge := value.Judge{CostMicros: 100, Latency: time.Second, AcceptGood: 0.93, AcceptBad: 0.1}
	versions := []value.Version{
		{Name: "mini", InputMicros: 100, OutputMicros: 300, Quality: 0.72, QualityWeight: 100},
		{Name: "small", InputMicros: 250, OutputMicros: 750, Quality: 0.86, QualityWeight: 100},
		{Name: "medium", InputMicros: 600, OutputMicros: 1800, Quality: 0.93, QualityWeight: 100},
		{Name: "large", InputMicros: 2000, OutputMicros: 6000, Quality: 0.98, QualityWeight: 400},
	}
	d := value.Document{Name: name, Models: []value.Model{{Name: "llm", Versions: versions}}}
	account := value.ClientAccount{Name: "all"}
	trueQuality := make(map[value.KindName]map[value.VersionKey]float64)
	for i, target := range targets {
		k := value.KindName(fmt.Sprint("kind-", i))
		d.Kinds = append(d.Kinds, value.Kind{Name: k, Model: "llm", QualityTarget: target, Idempotent: true, MaxTokens: 500, Judge: judge})
		account.Kinds = append(account.Kinds, k)
		trueQuality[k] = make(map[value.VersionKey]float64)
		for _, v := range versions {
			// The true quality differs from the stated one, the more so the weaker the version is.
			q := v.Quality + (1-v.Quality)*0.25*rnd.NormFloat64()
			trueQuality[k][d.Models[0].Key(v.Name)] = min(max(q, 0), 0.99)
		}
	}
	for _, v := range versions {
		account.Versions = append(account.Versions, d.Models[0].Key(v.Name))
	}
	d.ClientAccounts = []value.ClientAccount{account}
	return deployment{name: name, requests: requests, document: d, trueQuality: trueQuality}
}

// policyResult accumulates the expected cost and the true quality of the answers of one way of
// choosing.
type policyResult struct {
	micros      float64
	quality     map[value.KindName]float64
	count       map[value.KindName]int
	belowTarget int
	// exploredBelowTarget counts the answers below the target that exploration caused.
	exploredBelowTarget int
	total               int
	// secondHalfMicros is the cost of the second half of the requests.
	secondHalfMicros float64
}

func (r *policyResult) add(d deployment, k value.Kind, versions []value.VersionKey, explored bool) {
	micros, quality := d.costAndQuality(k, versions)
	if r.quality == nil {
		r.quality, r.count = make(map[value.KindName]float64), make(map[value.KindName]int)
	}
	r.micros += micros
	if r.total >= d.requests/2 {
		r.secondHalfMicros += micros
	}
	r.quality[k.Name] += quality
	r.count[k.Name]++
	r.total++
	if quality >= k.QualityTarget || !d.reachable(k) {
		return
	}
	if explored {
		r.exploredBelowTarget++
	} else {
		r.belowTarget++
	}
}

// deficit returns how far the worst kind's mean quality lies below its target.
func (r *policyResult) deficit(d deployment) float64 {
	worst := 0.0
	for _, k := range d.document.Kinds {
		if d.reachable(k) {
			worst = max(worst, k.QualityTarget-r.quality[k.Name]/float64(r.count[k.Name]))
		}
	}
	return worst
}

// costAndQuality returns the expected cost and quality of a plan by the true qualities.
func (d deployment) costAndQuality(k value.Kind, versions []value.VersionKey) (float64, float64) {
	first, firstQuality := d.cost(k, versions[0]), d.trueQuality[k.Name][versions[0]]
	if len(versions) == 1 {
		return first, firstQuality
	}
	second, secondQuality := d.cost(k, versions[1]), d.trueQuality[k.Name][versions[1]]
	return first + float64(k.Judge.CostMicros) + (1-k.Judge.AcceptanceRate(firstQuality))*second, k.Judge.Quality(firstQuality, secondQuality)
}

func (d deployment) cost(k value.Kind, v value.VersionKey) float64 {
	for _, version := range d.document.Models[0].Versions {
		if version.Name == v.Version() {
			return float64(version.Cost(k.MaxTokens, k.MaxTokens))
		}
	}
	return 0
}

func (d deployment) reachable(k value.Kind) bool {
	return d.trueQuality[k.Name]["llm/large"] >= k.QualityTarget
}

// cheapest returns the cheapest plan that meets the target by the given qualities, or the large
// version if none does.
func (d deployment) cheapest(k value.Kind, quality func(value.VersionKey) float64, cascades bool) []value.VersionKey {
	var plans [][]value.VersionKey
	for _, first := range d.document.ClientAccounts[0].Versions {
		plans = append(plans, []value.VersionKey{first})
		for _, second := range d.document.ClientAccounts[0].Versions {
			if cascades && first != second {
				plans = append(plans, []value.VersionKey{first, second})
			}
		}
	}
	best := []value.VersionKey{"llm/large"}
	lowest, found := 0.0, false
	for _, p := range plans {
		micros, _ := d.costAndQuality(k, p)
		q := quality(p[0])
		if len(p) > 1 {
			q = k.Judge.Quality(q, quality(p[1]))
		}
		if q >= k.QualityTarget && (!found || micros < lowest) {
			best, lowest, found = p, micros, true
		}
	}
	return best
}

func (d deployment) statedQuality(v value.VersionKey) float64 {
	for _, version := range d.document.Models[0].Versions {
		if version.Name == v.Version() {
			return version.Quality
		}
	}
	return 0
}

// delayedRating is a rating with the time at which it arrives.
type delayedRating struct {
	rating value.Rating
	due    time.Time
}

// sampleRating simulates the rating service, which rates bad answers more often than good ones. Of
// a cascade's first answers it rates only those that the judge accepted.
func sampleRating(rnd *rand.Rand, d deployment, k value.Kind, versions []value.VersionKey) (value.Rating, bool) {
	v, rates := versions[0], [2]float64{badRatingRate, goodRatingRate}
	if len(versions) > 1 {
		if rnd.Float64() >= k.Judge.AcceptanceRate(d.trueQuality[k.Name][v]) {
			v = versions[1]
		} else {
			good := d.trueQuality[k.Name][v] * k.Judge.AcceptGood / k.Judge.AcceptanceRate(d.trueQuality[k.Name][v])
			return drawRating(rnd, k, v, good, [2]float64{badRatingRate, goodRatingRate}, [2]float64{k.Judge.AcceptBad, k.Judge.AcceptGood})
		}
	}
	return drawRating(rnd, k, v, d.trueQuality[k.Name][v], rates, [2]float64{1, 1})
}

func drawRating(rnd *rand.Rand, k value.Kind, v value.VersionKey, good float64, rates, passRates [2]float64) (value.Rating, bool) {
	index := 0
	if rnd.Float64() < good {
		index = 1
	}
	if rnd.Float64() >= rates[index] {
		return value.Rating{}, false
	}
	return value.Rating{Kind: k.Name, Version: v, Accepted: index == 1, Rate: rates[index] * passRates[index]}, true
}

// simulate plans the deployment's requests with query.ChoosePlan and, for comparison, always with
// the best version, by the stated qualities, and with an oracle that knows the true qualities.
func (d deployment) simulate(seed uint64) (chosen, always, prior, oracle policyResult) {
	rnd := rand.New(rand.NewPCG(seed, 77))
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d.document, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), start)
	var pending []delayedRating
	pins := make(map[value.SessionID]value.VersionKey)
	for i := range d.requests {
		now := start.Add(simulatedTime / time.Duration(d.requests) * time.Duration(i))
		s, pending = d.deliverRatings(s, pending, now)
		k := d.document.Kinds[rnd.IntN(len(d.document.Kinds))]
		r := value.Request{ID: value.RequestID(fmt.Sprint(i)), Account: "all", Kind: k.Name, Deadline: now.Add(time.Minute), InputTokens: k.MaxTokens, MaxTokens: k.MaxTokens}
		if i%2 == 0 {
			r.Session = value.SessionID(fmt.Sprint(k.Name, i/2%100, "-", i/(turnsPerSession*200)))
			r.Pinned = pins[r.Session]
		}
		a, _ := query.Admit(s, r, now)
		p, err := query.ChoosePlan(s, a, r, now)
		if err != nil {
			panic(err)
		}
		if r.Session != "" {
			pins[r.Session] = p.Last()
		}
		chosen.add(d, k, p.Versions, p.Reason == value.ReasonExplore)
		always.add(d, k, []value.VersionKey{"llm/large"}, false)
		prior.add(d, k, d.cheapest(k, d.statedQuality, false), false)
		oracle.add(d, k, d.cheapest(k, func(v value.VersionKey) float64 { return d.trueQuality[k.Name][v] }, r.Session == ""), false)
		if rating, ok := sampleRating(rnd, d, k, p.Versions); ok {
			rating.At = now
			pending = append(pending, delayedRating{rating: rating, due: now.Add(ratingDelay)})
		}
	}
	return chosen, always, prior, oracle
}

// deliverRatings applies the ratings that are due, except during the rating service's outage.
func (d deployment) deliverRatings(s state.State, pending []delayedRating, now time.Time) (state.State, []delayedRating) {
	if since := now.Sub(start); since > outageStart && since < outageEnd {
		return s, pending
	}
	var due []value.Rating
	for len(pending) > 0 && !pending[0].due.After(now) {
		due = append(due, pending[0].rating)
		pending = pending[1:]
	}
	if len(due) > 0 {
		s, _ = cmds.ObserveRatings{Ratings: due}.Apply(s, now)
	}
	return s, pending
}

// BenchmarkMeasureCost reports the cost of answers that meet the quality target, relative to always
// using the best version, to the cheapest version by stated quality, and to an oracle that knows
// the true qualities.
func BenchmarkMeasureCost(b *testing.B) {
	deployments := map[string]func(seed uint64) deployment{
		"vadodara": func(seed uint64) deployment {
			return newDeployment("vadodara", 40000, []float64{0.8, 0.85, 0.95}, seed)
		},
		"portvagt": func(seed uint64) deployment {
			return newDeployment("portvagt", 80000, []float64{0.8, 0.9, 0.95, 0.7}, seed)
		},
	}
	for _, name := range []string{"vadodara", "portvagt"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var secondDay, secondDayOracle float64
				var micros, alwaysBest, priorOnly, oracleMicros, below, explored, deficit, priorDeficit float64
				for seed := range uint64(costSeeds) {
					d := deployments[name](seed)
					chosen, always, prior, oracle := d.simulate(seed)
					micros += chosen.micros
					alwaysBest += always.micros
					priorOnly += prior.micros
					oracleMicros += oracle.micros
					secondDay += chosen.secondHalfMicros
					secondDayOracle += oracle.secondHalfMicros
					below += float64(chosen.belowTarget) / float64(chosen.total) / costSeeds
					explored += float64(chosen.exploredBelowTarget) / float64(chosen.total) / costSeeds
					deficit = max(deficit, chosen.deficit(d))
					priorDeficit = max(priorDeficit, prior.deficit(d))
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(micros/oracleMicros, "cost/oracle")
				b.ReportMetric(secondDay/secondDayOracle, "second-day-cost/oracle")
				b.ReportMetric(micros/alwaysBest, "cost/always-best")
				b.ReportMetric(micros/priorOnly, "cost/prior-only")
				b.ReportMetric(below, "share-below-target")
				b.ReportMetric(explored, "share-below-target-explored")
				b.ReportMetric(deficit, "worst-deficit")
				b.ReportMetric(priorDeficit, "worst-deficit-prior-only")
			}
		})
	}
}
