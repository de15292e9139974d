package start

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivehitch/io/clock"
	"endivehitch/io/hangup"
	"endivehitch/io/intake"
	"endivehitch/io/logs"
	"endivehitch/io/stats"
	"endivehitch/platform/boot"
)

const (
	// droppedInterval is how often the number of dropped log lines is reported.
	droppedInterval = time.Second
	// settingsInterval is how often the settings file is read, since the platform doesn't announce
	// every change by a signal.
	settingsInterval = 2 * time.Second
)

// EdgeName is the name of the command that runs on the users' platform.
const EdgeName = "edge"

type edgeOptions struct {
	settings string
	intake   intakeOptions
}

// Edge returns the command that runs one instance on the users' platform.
func Edge() *cli.Command {
	o := new(edgeOptions)
	return &cli.Command{
		Name:  EdgeName,
		Usage: "route requests on the users' platform, between its callers and its backend servers",
		Flags: append([]cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "path of the platform's settings file", Required: true,
			Sources: cli.EnvVars(boot.SettingsVariable), Destination: &o.settings,
		}}, intakeFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			var err error
			if o.intake, err = readIntake(c); err != nil {
				return err
			}
			return o.run(ctx)
		},
	}
}

func (o *edgeOptions) run(ctx context.Context) error {
	settings, content, err := boot.Read(o.settings)
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	if o.intake.memory > 0 {
		settings.Memory = o.intake.memory
	}
	if o.intake.files > 0 {
		settings.Files = o.intake.files
	}
	out := logs.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := logs.New(out, zapcore.InfoLevel)
	metrics, err := stats.New(stats.Config{Now: time.Now, Period: stats.RelaySamplePeriod})
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	defer func() {
		if err := metrics.Close(); err != nil {
			log.Warn("MetricsNotClosed", zap.Error(err))
		}
	}()
	// What the instance knows may end while its machine is suspended.
	steady, err := clock.NewSteady(clock.SteadyConfig{SinceBoot: clock.SinceBoot})
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	refusals := &intake.Reporter{Log: log, Now: time.Now, Count: metrics.RecordIntake}
	relay, err := boot.New(boot.Config{
		Settings: settings, Log: log, Now: steady.Now, Recorder: stats.CombinedRecorder{Next: logs.RelayRecorder{Log: log}, Stats: metrics},
		OnStoreCall: metrics.RecordStoreCall, OnClaim: metrics.RecordClaim, Metrics: metrics.Handler(), OnSample: metrics.RecordRelayState,
		Limits: o.intake.limits, OnIntakeRefusal: refusals.Refused,
	})
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	go logs.ReportDroppedLines(log, out, metrics.RecordDropped, ticker.C, ctx.Done())
	// SIGHUP stays caught until the process ends, also while the instance shuts down.
	go o.watcher(relay, log, content, hangup.Received()).Run(ctx)
	return relay.Run(ctx)
}

// watcher returns the watcher that passes settings to the instance that differ from the content in force.
func (o *edgeOptions) watcher(relay *boot.Instance, log *zap.Logger, content []byte, reload <-chan os.Signal) boot.Watcher {
	return boot.Watcher{
		Path: o.settings, Content: content, Signals: reload, Interval: settingsInterval,
		OnChange: func(s boot.Settings) {
			relay.Reload(s)
			log.Info("Reloaded")
		},
		OnError: func(err error) { log.Error("ReloadFailed", zap.Error(err)) },
	}
}
