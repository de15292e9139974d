package query

import (
	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
)

// maxFollowers is how many instances share one reader of the store on average; a failure domain
// with more instances has several readers.
const maxFollowers = 24

// Reader returns the instance of the own failure domain that reads the store for this one, and
// whether that is another instance; suspected instances are skipped.
func Reader(state relay.State, suspected func(relay.MemberName) bool) (relay.Member, bool) {
	reader := readerOf(state, state.Self.Domain, suspected)
	return reader, reader.Name != "" && reader.Name != state.Self.Name
}

// UpdateSource returns the instance to request updates from, for an instance that doesn't read the
// store itself: its own reader on even turns, and the readers of the other failure domains in
// rotation on odd ones. So a reader that is cut off from the store without noticing delays updates
// by one turn at most.
func UpdateSource(state relay.State, turn int, suspected func(relay.MemberName) bool) relay.Member {
	own := readerOf(state, state.Self.Domain, suspected)
	others := otherDomains(state)
	if turn%2 == 0 || len(others) == 0 {
		return own
	}
	source := readerOf(state, others[turn/2%len(others)], suspected)
	if source.Name == "" {
		return own
	}
	return source
}

// Readers returns the readers that the instance may turn to: one of each failure domain, other than itself.
func Readers(state relay.State, suspected func(relay.MemberName) bool) []relay.Member {
	var readers []relay.Member
	for _, domain := range append(otherDomains(state), state.Self.Domain) {
		if reader := readerOf(state, domain, suspected); reader.Name != "" && reader.Name != state.Self.Name {
			readers = append(readers, reader)
		}
	}
	return readers
}

// readerOf returns the failure domain's reader for this instance: of the instances there that fall
// into the same group as this one, the one with the highest hash. If none of them can be used, it is
// the instance with the highest hash in the whole failure domain.
func readerOf(state relay.State, domain relay.FailureDomain, suspected func(relay.MemberName) bool) relay.Member {
	groups := groupCount(state, domain)
	own := groupOf(state.Self.Name, groups)
	var reader, fallback relay.Member
	bestWeight, bestFallback := uint64(0), uint64(0)
	for _, m := range state.Members() {
		if m.Domain != domain || (m.Name != state.Self.Name && suspected(m.Name)) {
			continue
		}
		weight := xxhash.Sum64String(string(m.Name))
		if weight >= bestFallback {
			fallback, bestFallback = m, weight
		}
		if weight >= bestWeight && groupOf(m.Name, groups) == own {
			reader, bestWeight = m, weight
		}
	}
	if reader.Name == "" {
		return fallback
	}
	return reader
}

// groupCount returns the number of groups that the instances of the failure domain are divided into.
func groupCount(state relay.State, domain relay.FailureDomain) uint64 {
	n := 0
	for _, m := range state.Members() {
		if m.Domain == domain {
			n++
		}
	}
	return uint64(max(1, (n+maxFollowers-1)/maxFollowers))
}

func groupOf(n relay.MemberName, groups uint64) uint64 {
	return xxhash.Sum64String("group/"+string(n)) % groups
}

// otherDomains lists the other failure domains, in the order of their first members by name.
func otherDomains(state relay.State) []relay.FailureDomain {
	var list []relay.FailureDomain
	seen := map[relay.FailureDomain]bool{state.Self.Domain: true}
	for _, m := range state.Members() {
		if !seen[m.Domain] {
			seen[m.Domain] = true
			list = append(list, m.Domain)
		}
	}
	return list
}
