// Package intake bounds what callers take of an instance's memory and descriptors, by the policy of core/intake: a Pool
// holds the budget that all callers share, ReadBody draws from it as a body arrives, and a Listener bounds connections and
// the heads that they send.
package intake
