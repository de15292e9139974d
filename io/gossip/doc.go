// Package gossip runs one instance's side of the fleet protocols: failure detection, dissemination
// of membership updates, and dissemination of the configuration.
//
// The decisions are those of core/fleet and core/query. A Gossip probes other instances and
// exchanges membership updates with them (membership), and distributes the configuration from the
// few instances that watch the key-value service to all others (disseminator). It works on the
// snapshots of the control loop and changes the state only by commands.
package gossip
