package query_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/engine"
	"endivehitch/core/relay/query"
)

const (
	modelTick   = 5 * time.Millisecond
	modelGap    = time.Second
	modelShared = 4000
)

// modelStream is one request of the queue model.
type modelStream struct {
	criteria                               query.Criteria
	instance                               *modelInstance
	server                                 relay.ServerID
	rank                                   engine.Rank
	tokens, number                         int
	work, at, unread, left, pause, longest time.Duration
	started, answered                      bool
}

// modelEngine reads prompts one after the other, and its running streams pause meanwhile. The memory that requests leave
// holds the shared parts that were used last.
type modelEngine struct {
	factor                   float64
	slots, memory, used, got int
	waiting, begun           []*modelStream
	parts                    []string
}

// read starts to read what of a prompt isn't held.
func (e *modelEngine) read(r *modelStream) {
	d := r.criteria.Demand()
	r.started, r.unread = true, d.Own+d.Shared
	e.parts = e.parts[max(0, len(e.parts)-max(0, e.memory-e.used)/modelShared):]
	if i := slices.Index(e.parts, r.criteria.Shared); i >= 0 {
		r.unread, e.parts = d.Own, slices.Delete(e.parts, i, i+1)
	}
	if r.criteria.Shared != "" {
		e.parts = append(e.parts, r.criteria.Shared)
	}
}

// tick advances the engine and calls onFirst and onEnd for the requests whose first event or end was reached.
func (e *modelEngine) tick(onFirst, onEnd func(*modelStream)) {
	for len(e.waiting) > 0 && len(e.begun) < e.slots && (len(e.begun) == 0 || e.used+e.waiting[0].tokens <= e.memory) {
		e.waiting, e.begun, e.used = e.waiting[1:], append(e.begun, e.waiting[0]), e.used+e.waiting[0].tokens
	}
	budget := time.Duration(float64(modelTick) / e.factor)
	for _, r := range e.begun {
		if r.answered || budget <= 0 {
			continue
		}
		if !r.started {
			e.read(r)
		}
		n := min(budget, r.unread)
		budget, r.unread = budget-n, r.unread-n
		if r.answered = r.unread == 0; r.answered {
			onFirst(r)
		}
	}
	e.begun = slices.DeleteFunc(e.begun, func(r *modelStream) bool {
		switch {
		case r.answered && budget <= 0:
			r.pause += modelTick
			r.longest = max(r.longest, r.pause)
		case r.answered:
			r.left, r.pause = r.left-budget, 0
		}
		if r.left <= 0 {
			e.used -= r.tokens
			onEnd(r)
		}
		return r.left <= 0
	})
}

// modelInstance is what one instance knows.
type modelInstance struct {
	state relay.State
	loads map[relay.ServerID]relay.Load
	hits  engine.Hits
}

// modelRun is one run of a pattern.
type modelRun struct {
	pattern        loadPattern
	traffic, draws *rand.Rand
	engines        map[relay.ServerID]*modelEngine
	order          []relay.ServerID
	instances      []*modelInstance
	clock          time.Duration
	firsts         []time.Duration
	// paused counts the requests with a pause that is longer than the accepted gap, and busiest is the number of requests of
	// the busiest server over the mean.
	paused  int
	busiest float64
}

// run runs the pattern with the service's decision.
func (m *modelRun) run() {
	for ; m.clock < modelLength; m.clock += modelTick {
		if m.pattern.restart > 0 && m.clock == m.pattern.restart {
			m.instances[0] = &modelInstance{state: m.instances[0].state, loads: map[relay.ServerID]relay.Load{}}
		}
		for _, i := range m.instances {
			for n := 0; n < len(m.order) && m.clock%m.pattern.exchange == 0; n++ {
				m.report(i, m.order[n])
			}
			if m.traffic.Float64() < m.pattern.rate(m.clock, i.state.Self.Domain)*modelTick.Seconds()/float64(len(m.instances)) {
				m.send(i)
			}
		}
		for _, id := range m.order {
			m.engines[id].tick(m.first, m.end)
		}
	}
	for _, e := range m.engines {
		m.busiest = max(m.busiest, float64(e.got*len(m.engines))/float64(len(m.firsts)))
	}
	slices.Sort(m.firsts)
}

// report passes a server's report to an instance.
func (m *modelRun) report(i *modelInstance, id relay.ServerID) {
	if e := m.engines[id]; m.pattern.reportsStop == 0 || m.clock < m.pattern.reportsStop {
		report := relay.Report{Running: len(e.begun), Waiting: len(e.waiting), Slots: e.slots, DurationPercent: int(e.factor * 100)}
		i.loads[id] = i.loads[id].WithReport(report, now.Add(m.clock))
	}
}

func (m *modelRun) send(i *modelInstance) {
	r := m.pattern.request(m.traffic)
	r.instance, r.at, r.criteria.Hits = i, m.clock, i.hits
	loads := func(id relay.ServerID) relay.Load { return i.loads[id] }
	choice, _ := query.SelectServer(i.state, r.criteria, loads, m.draws, now.Add(m.clock))
	r.server, r.rank = choice.Server.ID, choice.Rank
	if r.work = r.criteria.Demand().Own; !choice.HasCacheAffinity {
		r.work += r.criteria.Demand().Shared
	}
	i.loads[r.server] = i.loads[r.server].WithStart(r.work)
	// A request without an answer counts as answered at the end of the run.
	r.number, m.firsts = len(m.firsts), append(m.firsts, modelLength-m.clock)
	e := m.engines[r.server]
	e.waiting, e.got = append(e.waiting, r), e.got+1
}

// first records the first event of an answer, with which the server reports its load.
func (m *modelRun) first(r *modelStream) {
	elapsed, i := m.clock-r.at, r.instance
	m.firsts[r.number] = elapsed
	i.hits = i.hits.With(r.rank, r.criteria.Demand(), i.loads[r.server].Pace.Factor(now.Add(m.clock)), elapsed)
	i.loads[r.server] = i.loads[r.server].WithoutWork(r.work)
	if m.pattern.exchange != oldReport {
		m.report(i, r.server)
	}
}

func (m *modelRun) end(r *modelStream) {
	if r.longest > modelGap {
		m.paused++
	}
	r.instance.loads[r.server] = r.instance.loads[r.server].WithEnd()
}
