package relay

import "time"

// Server is one backend server as it describes itself.
type Server struct {
	ID      ServerID
	Service ServiceName
	// Address is where the server accepts connections, as IP:PORT.
	Address string
	Domain  FailureDomain
	Release Release
	// Slots is how many requests the server processes at once.
	Slots int
	// Draining is set once the server accepts no new requests because it is shutting down.
	Draining bool
	// Born is when this incarnation started.
	Born time.Time
	// Sequence counts the entries that this incarnation has written.
	Sequence int64
	// Cold is how much of the server's warm-up period was left when its record was read, and
	// ColdUntil when that period ends by this instance's clock.
	Cold      time.Duration
	ColdUntil time.Time
}

// IsOlderThan reports whether the server wrote this entry before the other one. Entries of a server that doesn't say when it
// started can't be told apart, as its count begins anew at each start.
func (s Server) IsOlderThan(other Server) bool {
	if s.Born.IsZero() || other.Born.IsZero() {
		return false
	}
	return s.Born.Before(other.Born) || (s.Born.Equal(other.Born) && s.Sequence < other.Sequence)
}

// WithWarmUpUntil returns a copy that is warming up until the time.
func (s Server) WithWarmUpUntil(at time.Time) Server {
	s.ColdUntil = at
	return s
}

// WithDraining returns a copy that is draining.
func (s Server) WithDraining() Server {
	s.Draining = true
	return s
}

// Member is one instance of the router.
type Member struct {
	Name   MemberName
	Domain FailureDomain
	// Address is where other instances reach it, as IP:PORT.
	Address string
	// Incarnation differs between any two starts of an instance.
	Incarnation int64
}

// RollOut is the operators' order to move a service to another release.
type RollOut struct {
	Service ServiceName
	Target  Release
	// Within is how long the move may take.
	Within time.Duration
	// Revision is the store revision of the order.
	Revision int64
}

// Duty records which instance runs a service's roll-out; a duty is a singleton task that the holder of
// a lease runs.
type Duty struct {
	Service ServiceName
	Holder  MemberName
}

// Phase is the phase of a roll-out.
type Phase int

// The phases of a roll-out.
const (
	// PhaseNone is the phase of a roll-out that no instance has started to run.
	PhaseNone Phase = iota
	// PhaseUnderWay is the phase in which the release receives a growing share of the traffic.
	PhaseUnderWay
	// PhaseCompleted is the final phase of a release that receives all traffic.
	PhaseCompleted
	// PhaseReverted is the final phase of a release that was found bad and receives no traffic.
	PhaseReverted
)

// IsFinal reports whether the phase can't change any more for the same order.
func (p Phase) IsFinal() bool {
	return p == PhaseCompleted || p == PhaseReverted
}

// Progress is the stored record of a roll-out's phase.
type Progress struct {
	Service ServiceName
	Target  Release
	Phase   Phase
}
