// Package policy holds the generic containers and policies that decisions are built from.
//
// The containers are Table (map), List (sequence), Ring (latest values) and FairQueue (weighted fair
// queue); each is immutable and shares memory with its older versions. Cell and Cells publish such a
// value to concurrent readers and writers by compare-and-swap. Rendezvous and Top assign work to
// members by rendezvous hashing, and RandomChoice picks the best of a few random candidates. Limiter
// bounds concurrency, Backoff, Budget and Quota bound retries and other extra work. DecayingMean,
// Quantile and Estimate are statistics over samples, and SequentialTest tests whether a share of bad
// trials exceeds a limit.
//
// All types but Cell, Cells and Top are immutable values, whose With methods return the next state.
// Structs such as LimiterConfig and QuotaConfig configure them; time and randomness are passed as
// arguments.
package policy
