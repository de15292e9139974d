package carry

import "endivehitch/core/relay"

// answered learns whether a larger model's answer began within the objective; false for none at all.
func (l *life[H]) answered(begun bool) {
	if l.step == 0 {
		return
	}
	inTime := begun && l.elapsed() <= l.admitted.Route.Objective
	l.carrier.zeals.Of(l.target).Update(func(z relay.Zeal) relay.Zeal { return z.WithAnswer(inTime) })
}
