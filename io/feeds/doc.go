// Package feeds synchronizes the control state with the platform's store, and keeps this instance
// registered there.
//
// A Follower applies the store's changes to the state of the Control loop. At a start it reads the store on
// several connections until one read is answered, and asks other instances besides. In each failure domain only
// a few instances, its readers, read the store themselves; the others get the changes from them through
// Peers. While the store is unreachable, every instance pulls changes from other instances. PeerClient
// calls other instances, and Methods serves such calls. A Registry keeps this instance's entry and its
// lease. A Spreader spreads what the fleet knows of parts of prompts under which servers crashed, by gossip.
package feeds
