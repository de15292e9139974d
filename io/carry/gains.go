package carry

import (
	"maps"

	"endivehitch/core/relay"
)

// modelPair is a smaller and a larger model.
type modelPair struct {
	smaller, larger relay.ModelName
}

// doubt is an answer that was dropped: which model gave it, and how sure of it that model was.
type doubt struct {
	step       int
	confidence int
}

// gains looks up what this instance has learned of the route's models.
func (l *life[H]) gains(from, to int) relay.Gain {
	models := l.admitted.Route.Models
	return l.carrier.gains.Get()[modelPair{models[from], models[to]}]
}

// surer learns how much surer the present model is than the one whose answer was dropped for it.
func (r *run[H]) surer(a *Answer[H]) {
	r.last.Confidence = a.Confidence
	if a.Confidence < 0 || r.begun || r.step <= r.doubt.step {
		return
	}
	models := r.admitted.Route.Models
	pair := modelPair{models[r.doubt.step], models[r.step]}
	r.carrier.gains.Update(func(all map[modelPair]relay.Gain) map[modelPair]relay.Gain {
		next := make(map[modelPair]relay.Gain, len(all)+1)
		maps.Copy(next, all)
		next[pair] = all[pair].With(r.doubt.confidence, a.Confidence)
		return next
	})
}
