package share_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/share"
)

const (
	tick      = 10 * time.Millisecond
	objective = 1500 * time.Millisecond
	timeout   = 6 * time.Second
	run       = 60 * time.Second
	// measuredFrom leaves out the time before the change of the load.
	surgeAt, measuredFrom = 20 * time.Second, 22 * time.Second
)

// load is a pattern of the requests of a fleet and of what fails.
type load struct {
	// rates returns the requests a second of each account at a time after the start.
	rates map[relay.AccountName]func(time.Duration) float64
	ranks map[relay.AccountName]int
	// lost returns the number of servers that take requests and don't work on them.
	lost func(time.Duration) int
	// restarts and reportsStop are when an instance restarts and no report arrives any more; zero means never.
	restarts, reportsStop time.Duration
}

// count says what callers of an account got: first events within the objective, answers before the deadline and refusals.
type count struct{ offered, inTime, answered, refused, expired int }

type member struct {
	uses     map[relay.AccountName]share.Use
	ledger   share.Ledger
	totals   share.Totals
	pressure share.Pressure
}

func newMember() *member { return &member{uses: make(map[relay.AccountName]share.Use)} }

func (m *member) report(now time.Time) (own []relay.AccountUse) {
	for account, use := range m.uses {
		own = append(own, use.Report(account, now))
	}
	return own
}

type call struct {
	account  relay.AccountName
	rank     int
	arrived  time.Time
	hash     uint64
	cost     int
	isReturn bool
}

// fleet stands for instances and for servers that each take one request after the other, at 100 tokens a second and server.
type fleet struct {
	load    load
	admits  bool
	rnd     *rand.Rand
	start   time.Time
	members []*member
	freeAt  []time.Time
	returns map[int64][]call
	counts  map[relay.AccountName]count
	large   map[relay.AccountName]count
}

const (
	instances = 20
	servers   = 12
	tokenTime = time.Second / 100
	smallCost = 10
	largeCost = 80
)

// play returns what the accounts got under the load, with or without admission.
func play(l load, admits bool) *fleet {
	f := &fleet{
		load: l, admits: admits, rnd: rand.New(rand.NewPCG(1, 2)), start: time.Unix(1_700_000_000, 0), freeAt: make([]time.Time, servers),
		returns: make(map[int64][]call), counts: make(map[relay.AccountName]count),
		large: make(map[relay.AccountName]count),
	}
	for range instances {
		f.members = append(f.members, newMember())
	}
	for at := time.Duration(0); at < run; at += tick {
		f.step(at)
	}
	return f
}

func (f *fleet) step(at time.Duration) {
	now := f.start.Add(at)
	n := int64(at / tick)
	if f.load.restarts > 0 && at == f.load.restarts {
		f.members[1] = newMember()
	}
	if f.load.reportsStop == 0 || at < f.load.reportsStop {
		f.exchange(f.members[n%instances], n%instances, now)
	}
	for _, c := range f.returns[n] {
		f.serve(c, at)
	}
	for _, account := range sortedAccounts(f.load.rates) {
		for expected := f.load.rates[account](at) * tick.Seconds(); expected > 0; expected-- {
			if f.rnd.Float64() >= expected {
				continue
			}
			c := call{account: account, rank: f.load.ranks[account], arrived: now, hash: f.rnd.Uint64(), cost: smallCost}
			if f.rnd.IntN(10) == 0 {
				c.cost = largeCost
			}
			f.serve(c, at)
		}
	}
}

// exchange lets an instance report to the first one and take its sum.
func (f *fleet) exchange(m *member, n int64, now time.Time) {
	first := f.members[0]
	if m == first {
		return
	}
	first.ledger = first.ledger.With(relay.UseReport{From: relay.MemberName(fmt.Sprint(n)), Instances: 1, Accounts: m.report(now)}, now)
	sum, _ := first.ledger.Sum("0", first.report(now), now)
	m.ledger = m.ledger.With(sum, now)
}

func (f *fleet) serve(c call, at time.Duration) {
	now, m := f.start.Add(at), f.members[f.rnd.IntN(instances)]
	server, wait := f.shortest(at, now)
	read := time.Duration(c.cost) * tokenTime
	counts := f.counts
	if c.cost == largeCost {
		counts = f.large
	}
	count := counts[c.account]
	defer func() {
		if c.arrived.Sub(f.start) >= measuredFrom {
			counts[c.account] = count
		}
	}()
	if !c.isReturn {
		count.offered++
	}
	left := timeout - now.Sub(c.arrived)
	if f.admits {
		if now.Sub(m.totals.At) >= 100*time.Millisecond {
			m.totals = m.ledger.Totals("", m.report(now), now)
		}
		m.pressure = m.pressure.With(wait, objective, now)
		r := share.Request{Account: c.account, Rank: c.rank, Objective: objective, Left: left, Wait: wait + read, Hash: c.hash}
		verdict := share.Decide(r, m.pressure, m.totals, now)
		m.uses[c.account] = m.uses[c.account].With(share.Cost(c.cost, 0), verdict.Admitted, now)
		if !verdict.Admitted {
			if c.isReturn {
				count.refused++
				return
			}
			c.isReturn = true
			back := int64((at + verdict.RetryAfter + tick - 1) / tick)
			f.returns[back] = append(f.returns[back], c)
			return
		}
	}
	begins := latest(f.freeAt[server], now)
	if first := begins.Add(read); first.Sub(c.arrived) > timeout || server >= servers-f.lost(at) {
		count.expired++
		return
	}
	f.freeAt[server] = begins.Add(read)
	count.answered++
	if begins.Add(read).Sub(c.arrived) <= objective {
		count.inTime++
	}
}

func (f *fleet) lost(at time.Duration) int {
	if f.load.lost == nil {
		return 0
	}
	return f.load.lost(at)
}

// shortest returns the best of three servers and its wait. A server that doesn't work any more has a full queue.
func (f *fleet) shortest(at time.Duration, now time.Time) (int, time.Duration) {
	best, bestWait := 0, time.Hour
	for range 3 {
		server := f.rnd.IntN(servers)
		wait := max(0, f.freeAt[server].Sub(now))
		if server >= servers-f.lost(at) {
			wait = 2 * timeout
		}
		if wait < bestWait {
			best, bestWait = server, wait
		}
	}
	return best, bestWait
}
