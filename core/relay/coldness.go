package relay

import "time"

// ColdStatement is what a server states in an answer about its cold period.
type ColdStatement struct {
	// Remaining is how much longer the server stays cold, valid if IsStated is set; zero means that it is warm.
	Remaining time.Duration
	IsStated  bool
}

// Coldness is what one instance knows of a server's cold period besides the server's entry; the zero value says nothing.
type Coldness struct {
	// Until is when the cold period ends that the server stated in an answer. It is not after StatedAt if the server was warm
	// then.
	Until    time.Time
	StatedAt time.Time
	// LostAt is when a connection to the server failed, and LostBorn the start of the incarnation that was lost.
	LostAt   time.Time
	LostBorn time.Time
	// LossConfirmed is set if the connection was refused or reset. Otherwise only this instance may have lost the server.
	LossConfirmed bool
	// ReachedAt is when the server first answered a request that was sent after it was lost, or after its failure domain
	// reopened.
	ReachedAt time.Time
}

const (
	// maxColdTime bounds the cold period that a server states, as a faulty one may name any time.
	maxColdTime = time.Hour
	// sameEventTime is the time within which two instances' reports of an event are of the same one. Reports count the age of
	// an event without their own time on the network, so an instance that adopted each later time would never forget it.
	sameEventTime = time.Second
)

// WithStatement returns a coldness after an answer, received at the time, to a request sent at sentAt. A server that says it
// is warm was so at sentAt at the latest; an answer that was sent before it became cold may arrive after one that says so.
func (c Coldness) WithStatement(statement ColdStatement, sentAt, at time.Time) Coldness {
	switch {
	case !statement.IsStated:
	case statement.Remaining > 0:
		c.Until, c.StatedAt = later(c.Until, at.Add(min(statement.Remaining, maxColdTime))), later(c.StatedAt, at)
	case sentAt.After(c.StatedAt):
		c.Until, c.StatedAt = sentAt, sentAt
	}
	return c
}

// WithLoss returns a coldness after the loss, at the time, of the server to which a request was sent at sentAt. Requests
// that were under way when the server was lost end one after the other and show one loss. It is confirmed if the connection
// was refused or reset. A request to an earlier incarnation than the one that is known to be lost shows nothing.
func (c Coldness) WithLoss(server Server, isConfirmed bool, sentAt, at time.Time) Coldness {
	if server.Born.Before(c.LostBorn) {
		return c
	}
	if sentAt.Before(c.LostAt) && c.LostBorn.Equal(server.Born) {
		c.LossConfirmed = c.LossConfirmed || isConfirmed
		return c
	}
	c.LostAt, c.LostBorn, c.LossConfirmed = at, server.Born, isConfirmed
	return c
}

// WithReached returns a coldness after an answer, received at the time, to a request sent at sentAt. The server was lost, or
// its failure domain reopened, at lostAt.
func (c Coldness) WithReached(lostAt, sentAt, at time.Time) Coldness {
	if !lostAt.IsZero() && !sentAt.Before(lostAt) && c.ReachedAt.Before(lostAt) {
		c.ReachedAt = at
	}
	return c
}

// WithReport returns a coldness that includes what another instance reports, received at the time.
func (c Coldness) WithReport(report ServerReport, at time.Time) Coldness {
	if lostAt := at.Add(-report.LostAge); report.Lost && c.isNewLoss(lostAt, report.LostBorn) {
		c.LostAt, c.LostBorn, c.LossConfirmed = lostAt, report.LostBorn, true
	}
	if statedAt := at.Add(-report.ColdAge); report.Cold && statedAt.Sub(c.StatedAt) > sameEventTime {
		c.Until, c.StatedAt = later(c.Until, at.Add(report.ColdRemaining)), statedAt
	}
	return c
}

// LatestNews returns when the server was lost, stated something or answered again, whichever was last.
func (c Coldness) LatestNews() time.Time {
	return later(c.LostAt, later(c.StatedAt, c.ReachedAt))
}

// isNewLoss reports whether a loss that another instance reports is another one than the known one: that of a later incarnation,
// or later by more than sameEventTime, or the server had answered in between.
func (c Coldness) isNewLoss(lostAt, born time.Time) bool {
	if !born.Equal(c.LostBorn) {
		return born.After(c.LostBorn)
	}
	if !c.ReachedAt.Before(c.LostAt) && !c.ReachedAt.IsZero() {
		return lostAt.After(c.ReachedAt)
	}
	return lostAt.Sub(c.LostAt) > sameEventTime
}
