// Package gossip carries out what core/fleet and core/query decide about the
// fleet: it probes other instances, passes on news of them, and spreads the
// configuration from the few instances that watch the key-value service.
package gossip
