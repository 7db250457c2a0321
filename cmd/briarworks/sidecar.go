package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"briarworks.example/briarworks/internal/outlog"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/side"
	"briarworks.example/briarworks/platform"
)

// memoryShare is the part of the memory of the settings from which on the collector works harder.
const memoryShare = 0.6

// Lines of one event in a second before the rest is thinned.
const (
	lineFirst = 100
	lineEvery = 100
)

func sidecarCommand() *cobra.Command {
	return processCommand(&cobra.Command{
		Use: "sidecar", Short: "Run the node beside a backend server on the platform",
		Long: "Run the node beside a backend server on the platform until SIGTERM or an interrupt. The node finds\n" +
			"its fleet and its configuration in the platform's store. SIGHUP reads the settings again.",
		Example: "  briarworks sidecar --settings node.yaml",
	}, runSidecar)
}

// runSidecar runs a node until ctx ends and then stops it gracefully.
func runSidecar(ctx context.Context, file string, out io.Writer) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	s, err := readSettings(file, setup.DecodeSidecar)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryShare))
	lines := outlog.New(out)
	defer lines.Close()
	log := sidecarLogger(lines).With(zap.String("server", string(s.Server)))
	app := fx.New(side.Module, platform.Module, fx.Supply(s, log), fx.NopLogger, fx.StopTimeout(s.StopTimeout))
	if err := app.Start(ctx); err != nil {
		return err
	}
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-hup:
			reload(file, log)
		}
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.StopTimeout)
	defer cancel()
	return app.Stop(stop)
}

// reload checks the settings file again. What a node learns from it is fixed at its start: its addresses and
// those of its server and store. A change is logged, so that an operator knows that a restart is due.
func reload(file string, log *zap.Logger) {
	if _, err := readSettings(file, setup.DecodeSidecar); err != nil {
		log.Error("settingsUnusable", zap.Error(err))
		return
	}
	log.Info("settingsRead")
}

// sidecarLogger writes one line of key=value pairs for each event, thinned under load.
func sidecarLogger(out zapcore.WriteSyncer) *zap.Logger {
	core := eventCore(out, zapcore.MillisDurationEncoder)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, lineFirst, lineEvery))
}
