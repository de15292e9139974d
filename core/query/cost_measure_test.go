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

const (
	goodRate    = 0.05
	badRate     = 0.2
	ratingDelay = 30 * time.Minute
	costSpan    = 48 * time.Hour
	awayFrom    = 20 * time.Hour
	awayUntil   = 26 * time.Hour
	costSeeds   = 8
	turns       = 4
)

// town is one deployment as the measurement plays it.
type town struct {
	name     string
	requests int
	document value.Document
	truth    map[value.KindName]map[value.VersionKey]float64
}

func townOf(name string, requests int, targets []float64, seed uint64) town {
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
	truth := make(map[value.KindName]map[value.VersionKey]float64)
	for i, target := range targets {
		k := value.KindName(fmt.Sprint("kind-", i))
		d.Kinds = append(d.Kinds, value.Kind{Name: k, Model: "llm", QualityTarget: target, Idempotent: true, MaxTokens: 500, Judge: judge})
		account.Kinds = append(account.Kinds, k)
		truth[k] = make(map[value.VersionKey]float64)
		for _, v := range versions {
			// Answers are not as good as stated: the weaker the version, the further off.
			q := v.Quality + (1-v.Quality)*0.25*rnd.NormFloat64()
			truth[k][d.Models[0].Key(v.Name)] = min(max(q, 0), 0.99)
		}
	}
	for _, v := range versions {
		account.Versions = append(account.Versions, d.Models[0].Key(v.Name))
	}
	d.ClientAccounts = []value.ClientAccount{account}
	return town{name: name, requests: requests, document: d, truth: truth}
}

// spent is what a way of choosing costs, and how good its answers truly are.
type spent struct {
	micros  float64
	quality map[value.KindName]float64
	count   map[value.KindName]int
	below   int
	// explored counts the answers that were given for the sake of ratings by a version truly below target.
	explored int
	total    int
	// settled is the cost of the second half.
	settled float64
}

func (s *spent) add(w town, k value.Kind, versions []value.VersionKey, explored bool) {
	micros, quality := w.price(k, versions)
	if s.quality == nil {
		s.quality, s.count = make(map[value.KindName]float64), make(map[value.KindName]int)
	}
	s.micros += micros
	if s.total >= w.requests/2 {
		s.settled += micros
	}
	s.quality[k.Name] += quality
	s.count[k.Name]++
	s.total++
	if quality >= k.QualityTarget || !w.reachable(k) {
		return
	}
	if explored {
		s.explored++
	} else {
		s.below++
	}
}

// deficit returns how far the worst kind's mean quality lies below its target.
func (s *spent) deficit(w town) float64 {
	worst := 0.0
	for _, k := range w.document.Kinds {
		if w.reachable(k) {
			worst = max(worst, k.QualityTarget-s.quality[k.Name]/float64(s.count[k.Name]))
		}
	}
	return worst
}

// price returns the true expected cost and quality of a plan.
func (w town) price(k value.Kind, versions []value.VersionKey) (float64, float64) {
	first, q := w.cost(k, versions[0]), w.truth[k.Name][versions[0]]
	if len(versions) == 1 {
		return first, q
	}
	second, q2 := w.cost(k, versions[1]), w.truth[k.Name][versions[1]]
	return first + float64(k.Judge.CostMicros) + (1-k.Judge.Accepts(q))*second, k.Judge.Quality(q, q2)
}

func (w town) cost(k value.Kind, v value.VersionKey) float64 {
	for _, version := range w.document.Models[0].Versions {
		if version.Name == v.Version() {
			return float64(version.Cost(k.MaxTokens, k.MaxTokens))
		}
	}
	return 0
}

func (w town) reachable(k value.Kind) bool {
	return w.truth[k.Name]["llm/large"] >= k.QualityTarget
}

// cheapest returns the cheapest plan that meets the target by the given qualities, or the best single version.
func (w town) cheapest(k value.Kind, quality func(value.VersionKey) float64, cascades bool) []value.VersionKey {
	var plans [][]value.VersionKey
	for _, a := range w.document.ClientAccounts[0].Versions {
		plans = append(plans, []value.VersionKey{a})
		for _, b := range w.document.ClientAccounts[0].Versions {
			if cascades && a != b {
				plans = append(plans, []value.VersionKey{a, b})
			}
		}
	}
	best := []value.VersionKey{"llm/large"}
	low, found := 0.0, false
	for _, p := range plans {
		micros, _ := w.price(k, p)
		q := quality(p[0])
		if len(p) > 1 {
			q = k.Judge.Quality(q, quality(p[1]))
		}
		if q >= k.QualityTarget && (!found || micros < low) {
			best, low, found = p, micros, true
		}
	}
	return best
}

func (w town) stated(v value.VersionKey) float64 {
	for _, version := range w.document.Models[0].Versions {
		if version.Name == v.Version() {
			return version.Quality
		}
	}
	return 0
}

type lateRating struct {
	rating value.Rating
	due    time.Time
}

// sample rates the answer as the rating service would: bad ones more often, and of a cascade's
// first answers only those that the judge let through.
func sample(rnd *rand.Rand, w town, k value.Kind, versions []value.VersionKey) (value.Rating, bool) {
	v, rates := versions[0], [2]float64{badRate, goodRate}
	if len(versions) > 1 {
		if rnd.Float64() >= k.Judge.Accepts(w.truth[k.Name][v]) {
			v = versions[1]
		} else {
			good := w.truth[k.Name][v] * k.Judge.AcceptGood / k.Judge.Accepts(w.truth[k.Name][v])
			return drawn(rnd, k, v, good, [2]float64{badRate, goodRate}, [2]float64{k.Judge.AcceptBad, k.Judge.AcceptGood})
		}
	}
	return drawn(rnd, k, v, w.truth[k.Name][v], rates, [2]float64{1, 1})
}

func drawn(rnd *rand.Rand, k value.Kind, v value.VersionKey, good float64, rates, passed [2]float64) (value.Rating, bool) {
	side := 0
	if rnd.Float64() < good {
		side = 1
	}
	if rnd.Float64() >= rates[side] {
		return value.Rating{}, false
	}
	return value.Rating{Kind: k.Name, Version: v, Accepted: side == 1, Rate: rates[side] * passed[side]}, true
}

// play serves the town's requests by the plan query and by the baselines.
func (w town) play(seed uint64) (own, always, prior, oracle spent) {
	rnd := rand.New(rand.NewPCG(seed, 77))
	s, _ := cmds.InstallConfig{Accepted: value.Accepted{Document: w.document, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), start)
	var late []lateRating
	pins := make(map[value.SessionID]value.VersionKey)
	for i := range w.requests {
		now := start.Add(costSpan / time.Duration(w.requests) * time.Duration(i))
		s, late = w.hear(s, late, now)
		k := w.document.Kinds[rnd.IntN(len(w.document.Kinds))]
		r := value.Request{ID: value.RequestID(fmt.Sprint(i)), Account: "all", Kind: k.Name, Deadline: now.Add(time.Minute), InputTokens: k.MaxTokens, MaxTokens: k.MaxTokens}
		if i%2 == 0 {
			r.Session = value.SessionID(fmt.Sprint(k.Name, i/2%100, "-", i/(turns*200)))
			r.Pinned = pins[r.Session]
		}
		a, _ := query.Admit(s, r, now)
		p, err := query.Choose(s, a, r, now)
		if err != nil {
			panic(err)
		}
		if r.Session != "" {
			pins[r.Session] = p.Last()
		}
		own.add(w, k, p.Versions, p.Reason == value.ReasonExplore)
		always.add(w, k, []value.VersionKey{"llm/large"}, false)
		prior.add(w, k, w.cheapest(k, w.stated, false), false)
		oracle.add(w, k, w.cheapest(k, func(v value.VersionKey) float64 { return w.truth[k.Name][v] }, r.Session == ""), false)
		if rating, ok := sample(rnd, w, k, p.Versions); ok {
			rating.At = now
			late = append(late, lateRating{rating: rating, due: now.Add(ratingDelay)})
		}
	}
	return own, always, prior, oracle
}

// hear hands over the ratings that have arrived; none do while the rating service is away.
func (w town) hear(s state.State, late []lateRating, now time.Time) (state.State, []lateRating) {
	if since := now.Sub(start); since > awayFrom && since < awayUntil {
		return s, late
	}
	var due []value.Rating
	for len(late) > 0 && !late[0].due.After(now) {
		due = append(due, late[0].rating)
		late = late[1:]
	}
	if len(due) > 0 {
		s, _ = cmds.ObserveRatings{Ratings: due}.Apply(s, now)
	}
	return s, late
}

// BenchmarkMeasureCost reports what answers cost at the quality target, against always the best
// version, the cheapest by its stated quality, and an oracle that knows the true qualities.
func BenchmarkMeasureCost(b *testing.B) {
	towns := map[string]func(seed uint64) town{
		"vadodara": func(seed uint64) town { return townOf("vadodara", 40000, []float64{0.8, 0.85, 0.95}, seed) },
		"portvagt": func(seed uint64) town { return townOf("portvagt", 80000, []float64{0.8, 0.9, 0.95, 0.7}, seed) },
	}
	for _, name := range []string{"vadodara", "portvagt"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var late, lateIdeal float64
				var micros, best, stated, ideal, below, explored, lost, lostByPrior float64
				for seed := range uint64(costSeeds) {
					w := towns[name](seed)
					own, always, prior, oracle := w.play(seed)
					micros += own.micros
					best += always.micros
					stated += prior.micros
					ideal += oracle.micros
					late += own.settled
					lateIdeal += oracle.settled
					below += float64(own.below) / float64(own.total) / costSeeds
					explored += float64(own.explored) / float64(own.total) / costSeeds
					lost = max(lost, own.deficit(w))
					lostByPrior = max(lostByPrior, prior.deficit(w))
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(micros/ideal, "cost/oracle")
				b.ReportMetric(late/lateIdeal, "second-day-cost/oracle")
				b.ReportMetric(micros/best, "cost/always-best")
				b.ReportMetric(micros/stated, "cost/prior-only")
				b.ReportMetric(below, "share-below-target")
				b.ReportMetric(explored, "share-below-target-explored")
				b.ReportMetric(lost, "worst-deficit")
				b.ReportMetric(lostByPrior, "worst-deficit-prior-only")
			}
		})
	}
}
