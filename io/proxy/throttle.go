package proxy

import "endivehitch/core/relay"

// updateThrottle adjusts the service's throttle by whether a larger model's answer started within the
// route's objective; responseStarted is false when there was no answer. Answers of the route's first and
// smallest model, at step 0, don't count.
func (h *requestHandler[H]) updateThrottle(responseStarted bool) {
	if h.step == 0 || h.isRefused() {
		return
	}
	inTime := responseStarted && h.elapsed() <= h.admitted.Route.Objective
	h.dispatcher.throttles.Cell(h.service).Update(func(t relay.Throttle) relay.Throttle { return t.WithAnswer(inTime) })
}
