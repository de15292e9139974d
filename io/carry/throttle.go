package carry

import "endivehitch/core/relay"

// answered learns whether a larger model's answer began within the objective; false for none at all.
func (l *life[H]) answered(begun bool) {
	if l.step == 0 {
		return
	}
	inTime := begun && l.elapsed() <= l.admitted.Route.Objective
	l.carrier.throttles.Of(l.target).Update(func(t relay.Throttle) relay.Throttle { return t.WithAnswer(inTime) })
}
