package logs

import (
	"time"

	"go.uber.org/zap"

	"endivehitch/io/carry"
)

// Relayed writes a line for each decision about a relayed request.
type Relayed struct {
	// Log takes the lines.
	Log *zap.Logger
}

// Record writes the line; it leaves out what the decision doesn't have.
func (r Relayed) Record(d carry.Decision) {
	fields := make([]zap.Field, 0, 16)
	text := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	text("Request", d.Request)
	text("Route", string(d.Route))
	text("Account", string(d.Account))
	text("Server", string(d.Server))
	text("Release", string(d.Release))
	text("Model", string(d.Model))
	text("Reason", d.Reason)
	text("Detail", d.Detail)
	fields = append(fields, zap.Int64("Revision", d.Revision), zap.Int64("ElapsedMs", d.Elapsed.Milliseconds()))
	if d.Candidates > 0 {
		fields = append(fields, zap.Int("Candidates", d.Candidates), zap.Float64("Score", d.Score))
	}
	if d.ReportAge > 0 {
		fields = append(fields, zap.Int64("ReportAgeMs", d.ReportAge.Milliseconds()))
	}
	if d.FirstByteTime > 0 {
		fields = append(fields, zap.Int64("FirstMs", d.FirstByteTime.Milliseconds()))
	}
	if d.PrefillTokens > 0 {
		fields = append(fields, zap.Int("Unread", d.PrefillTokens))
	}
	if d.Status > 0 {
		fields = append(fields, zap.Int("Status", d.Status))
	}
	if d.Confidence > 0 {
		fields = append(fields, zap.Int("Confidence", d.Confidence))
	}
	if d.Throttle > 0 {
		fields = append(fields, zap.Float64("Throttle", d.Throttle))
	}
	r.Log.Info(string(d.Kind), fields...)
}

// Watch writes a line and counts whenever lines were left out, until the channel is closed.
func Watch(log *zap.Logger, a *Async, count func(int64), every <-chan time.Time, stop <-chan struct{}) {
	for {
		select {
		case <-every:
			if n := a.Dropped(); n > 0 {
				count(n)
				log.Warn("LinesDropped", zap.Int64("Lines", n))
			}
		case <-stop:
			return
		}
	}
}
