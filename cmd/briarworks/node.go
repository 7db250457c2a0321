package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"briarworks.example/briarworks/internal/node"
	"briarworks.example/briarworks/internal/setup"
)

// memoryLimit makes the garbage collector run more often before a node reaches its limit of 64 MB.
const memoryLimit = 56 << 20

func nodeCommand() *cobra.Command {
	return processCommand(&cobra.Command{
		Use: "node", Short: "Run the node beside a backend server",
		Long: "Run the node beside a backend server until SIGTERM or an interrupt. On a stop, the node\n" +
			"refuses new requests, completes those in flight and exits with status 0.",
		Example: "  briarworks node --settings node.yaml",
	}, runNode)
}

// processCommand adds the settings flag to a command that runs a process until its context ends.
func processCommand(c *cobra.Command, run func(ctx context.Context, file string, out io.Writer) error) *cobra.Command {
	file := c.Flags().String("settings", "node.yaml", "file with the node's settings")
	c.Args = cobra.NoArgs
	c.RunE = func(c *cobra.Command, _ []string) error { return run(c.Context(), *file, c.OutOrStdout()) }
	return c
}

// readSettings reads and decodes the settings file of a process.
func readSettings[S any](file string, decode func(file string, text []byte) (*S, error)) (*S, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w; name the file with the node's settings with --settings", err)
	}
	return decode(file, text)
}

// runNode runs a node until ctx ends and then stops it gracefully.
func runNode(ctx context.Context, file string, out io.Writer) (err error) {
	settings, err := readSettings(file, setup.Decode)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit)
	log := newLogger(out).With(zap.String("server", string(settings.Server)))
	app := fx.New(node.Module, fx.Supply(settings, log), fx.NopLogger, fx.StopTimeout(settings.StopTimeout))
	err = app.Start(ctx)
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w; stop the process that has the address, or change listen in %s", err, file)
	}
	if err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.StopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

// newLogger returns a logger that writes events in logfmt.
func newLogger(out io.Writer) *zap.Logger {
	return zap.New(eventCore(zapcore.Lock(zapcore.AddSync(out)), zapcore.SecondsDurationEncoder))
}

// eventCore returns a core that writes each event as one line in logfmt.
func eventCore(out zapcore.WriteSyncer, durations zapcore.DurationEncoder) zapcore.Core {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = durations
	cfg.MessageKey = "event"
	return zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, zap.InfoLevel)
}
