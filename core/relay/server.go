package relay

import "time"

// Server is one backend server as it describes itself.
type Server struct {
	ID      ServerID
	Service ServiceName
	// Address is where it takes connections, as IP:PORT.
	Address string
	Domain  FailureDomain
	Release Release
	// Slots is how many requests it works on at once.
	Slots int
	// Draining is set once the server is leaving.
	Draining bool
	// Born is when this incarnation started.
	Born time.Time
	// Cold is how much longer the server was to be slow after its start when its record was read, and
	// ColdUntil when that is over by this instance's clock.
	Cold      time.Duration
	ColdUntil time.Time
}

// WithColdUntil returns a copy that is slow until the time.
func (s Server) WithColdUntil(at time.Time) Server {
	s.ColdUntil = at
	return s
}

// WithDraining returns a copy that is leaving.
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
	// Incarnation differs between two starts of an instance.
	Incarnation int64
}

// RollOut is the operators' order to move a service to another release.
type RollOut struct {
	Service ServiceName
	Target  Release
	// Within is how long the move may take.
	Within time.Duration
	// Revision is the order's own revision.
	Revision int64
}

// Duty is the record that one instance looks after a service's roll-out.
type Duty struct {
	Service ServiceName
	Holder  MemberName
}

// Phase says how far a roll-out has come.
type Phase int

// The phases of a roll-out.
const (
	// PhaseNone is the phase of a roll-out that nobody has taken up.
	PhaseNone Phase = iota
	// PhaseUnderWay is set while the release receives a growing part of the traffic.
	PhaseUnderWay
	// PhaseCompleted is set once the release receives all traffic.
	PhaseCompleted
	// PhaseReverted is set once the release has been found bad and receives none.
	PhaseReverted
)

// Final reports whether the phase never changes again for the same order.
func (p Phase) Final() bool {
	return p == PhaseCompleted || p == PhaseReverted
}

// Progress is where a roll-out stands.
type Progress struct {
	Service ServiceName
	Target  Release
	Phase   Phase
}
