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

// memoryLimitShare is the share of the memory in the settings at which the garbage collector starts to run
// more often.
const memoryLimitShare = 0.6

// Log sampling: in each second, the first sampleFirst lines of an event are written and then every
// sampleThereafter-th.
const (
	sampleFirst      = 100
	sampleThereafter = 100
)

func sidecarCommand() *cobra.Command {
	return processCommand(&cobra.Command{
		Use: "sidecar", Short: "Run the node beside a backend server on the platform",
		Long: "Run the node beside a backend server on the platform until SIGTERM or an interrupt. The node reads\n" +
			"the members of its fleet and its configuration from the platform's store. SIGHUP checks the settings file\nagain; changes take effect at the next start.",
		Example: "  briarworks sidecar --settings node.yaml",
	}, runSidecar)
}

// runSidecar runs a node until ctx ends and then stops it gracefully.
func runSidecar(ctx context.Context, file string, out io.Writer) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := readSettings(file, setup.DecodeSidecar)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(settings.Memory<<20) * memoryLimitShare))
	logOutput := outlog.New(out)
	defer logOutput.Close()
	log := sidecarLogger(logOutput).With(zap.String("server", string(settings.Server)))
	app := fx.New(side.Module, platform.Module, fx.Supply(settings, log), fx.NopLogger, fx.StopTimeout(settings.StopTimeout))
	if err := app.Start(ctx); err != nil {
		return err
	}
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-hangups:
			reload(file, log)
		}
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.StopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

// reload checks the settings file again. A running node keeps the addresses of itself, its server and its store
// from its start, so reload only logs the result, which tells an operator that a restart is due.
func reload(file string, log *zap.Logger) {
	if _, err := readSettings(file, setup.DecodeSidecar); err != nil {
		log.Error("settingsUnusable", zap.Error(err))
		return
	}
	log.Info("settingsRead")
}

// sidecarLogger returns a logger that writes events in logfmt and samples them at high rates.
func sidecarLogger(out zapcore.WriteSyncer) *zap.Logger {
	core := eventCore(out, zapcore.MillisDurationEncoder)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter))
}
