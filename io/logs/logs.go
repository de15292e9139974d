package logs

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivehitch/core/value"
)

// New returns a logger that writes JSON lines with field names in Pascal case.
func New(w io.Writer, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "Time"
	enc.LevelKey = "Level"
	enc.MessageKey = "Message"
	enc.NameKey = "Name"
	enc.CallerKey = zapcore.OmitKey
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), level))
}

// LogDecision logs a routing decision.
func LogDecision(l *zap.Logger, d value.Decision) {
	l.Info("Decision",
		zap.String("Request", string(d.Request)),
		zap.String("Account", string(d.Account)),
		zap.String("Kind", string(d.Kind)),
		zap.String("Step", string(d.Step)),
		zap.String("Version", string(d.Version)),
		zap.String("Server", string(d.Server)),
		zap.Int("Candidates", d.Candidates),
		zap.String("Reason", string(d.Reason)),
		zap.Int64("CostMicros", d.CostMicros),
		zap.String("Detail", d.Detail),
	)
}
