package logs

import (
	"time"

	"go.uber.org/zap"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// RelayRecorder logs the decisions about relayed requests; it implements proxy.Recorder.
type RelayRecorder struct {
	Log *zap.Logger
}

// Record logs the decision; fields that the decision does not set are omitted.
func (r RelayRecorder) Record(d proxy.Decision) {
	fields := make([]zap.Field, 0, 20)
	addText := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	addText("Request", d.Request)
	addText("Route", string(d.Route))
	addText("Account", string(d.Account))
	addText("Server", string(d.Server))
	addText("Release", string(d.Release))
	addText("Model", string(d.Model))
	addText("Reason", d.Reason)
	addText("Detail", d.Detail)
	fields = append(fields, zap.Int64("Revision", d.Revision), zap.Int64("ElapsedMs", d.Elapsed.Milliseconds()))
	if d.Candidates > 0 {
		fields = append(fields, zap.Int("Candidates", d.Candidates), zap.Float64("Score", d.Score))
	}
	if d.ReportAge > 0 {
		fields = append(fields, zap.Int64("ReportAgeMs", d.ReportAge.Milliseconds()))
	}
	if d.Report.Slots > 0 {
		fields = append(fields, zap.Int("Running", d.Report.Running), zap.Int("Waiting", d.Report.Waiting), zap.Int("Slots", d.Report.Slots))
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
	if d.EndsWithConnection {
		fields = append(fields, zap.Bool("EndsWithConnection", true))
	}
	if d.Confidence > 0 {
		fields = append(fields, zap.Int("Confidence", d.Confidence))
	}
	if d.Throttle > 0 {
		fields = append(fields, zap.Float64("Throttle", d.Throttle))
	}
	if d.Share > 0 {
		fields = append(fields, zap.Float64("Pressure", d.Pressure), zap.Float64("Share", d.Share), zap.Int64("UseAgeMs", d.UseAge.Milliseconds()), zap.Int("Instances", d.Instances))
	}
	if len(d.SharedParts) > 0 {
		fields = append(fields, zap.Strings("SharedParts", partIDs(d.SharedParts)))
	}
	r.Log.Info(string(d.Kind), fields...)
}

func partIDs(parts []relay.Part) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// ReportDroppedLines logs and counts, at each tick, the lines that were dropped since the last one,
// until stop is closed.
func ReportDroppedLines(log *zap.Logger, a *AsyncWriter, count func(int64), ticks <-chan time.Time, stop <-chan struct{}) {
	for {
		select {
		case <-ticks:
			if n := a.Dropped(); n > 0 {
				count(n)
				log.Warn("LinesDropped", zap.Int64("Lines", n))
			}
		case <-stop:
			return
		}
	}
}
