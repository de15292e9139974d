package intake

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// reportInterval is the least time between two log lines about refused callers.
const reportInterval = 10 * time.Second

// Reporter counts refusals and logs them in one line at a time; it is safe for concurrent use.
type Reporter struct {
	Log *zap.Logger
	Now func() time.Time
	// Count counts a refusal by its kind.
	Count func(kind string)

	mu     sync.Mutex
	logged time.Time
	counts map[Kind]int
}

// Refused counts a refusal, and logs those since the last line unless that is recent.
func (r *Reporter) Refused(k Kind) {
	r.Count(string(k))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[Kind]int)
	}
	r.counts[k]++
	now := r.Now()
	if now.Sub(r.logged) < reportInterval {
		return
	}
	r.logged = now
	var fields []zap.Field
	for _, kind := range Kinds() {
		if n := r.counts[kind]; n > 0 {
			fields = append(fields, zap.Int(string(kind), n))
		}
	}
	clear(r.counts)
	r.Log.Warn("CallersRefused", fields...)
}
