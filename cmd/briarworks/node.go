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

// memoryGoal makes the collector work harder before a node reaches the 64 MB that it may use.
const memoryGoal = 56 << 20

func nodeCommand() *cobra.Command {
	return processCommand(&cobra.Command{
		Use: "node", Short: "Run the node beside a backend server",
		Long: "Run the node beside a backend server until SIGTERM or an interrupt. A stop takes no new work,\n" +
			"ends what is in flight and exits with 0.",
		Example: "  briarworks node --settings node.yaml",
	}, runNode)
}

// processCommand completes a command that runs a process by a settings file until its context ends.
func processCommand(c *cobra.Command, run func(ctx context.Context, file string, out io.Writer) error) *cobra.Command {
	file := c.Flags().String("settings", "node.yaml", "file with the node's settings")
	c.Args = cobra.NoArgs
	c.RunE = func(c *cobra.Command, _ []string) error { return run(c.Context(), *file, c.OutOrStdout()) }
	return c
}

// readSettings reads the settings file of a process.
func readSettings[S any](file string, decode func(file string, text []byte) (*S, error)) (*S, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w; name the file with the node's settings with --settings", err)
	}
	return decode(file, text)
}

// runNode runs a node until ctx ends and then stops it gracefully.
func runNode(ctx context.Context, file string, out io.Writer) (err error) {
	s, err := readSettings(file, setup.Decode)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryGoal)
	log := newLogger(out).With(zap.String("server", string(s.Server)))
	app := fx.New(node.Module, fx.Supply(s, log), fx.NopLogger, fx.StopTimeout(s.StopTimeout))
	err = app.Start(ctx)
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w; stop the process that has the address, or change listen in %s", err, file)
	}
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.StopTimeout)
	defer cancel()
	return app.Stop(stop)
}

// newLogger writes one line of key=value pairs for each event.
func newLogger(out io.Writer) *zap.Logger {
	return zap.New(eventCore(zapcore.Lock(zapcore.AddSync(out)), zapcore.SecondsDurationEncoder))
}

// eventCore encodes each event as one line of key=value pairs.
func eventCore(out zapcore.WriteSyncer, durations zapcore.DurationEncoder) zapcore.Core {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = durations
	cfg.MessageKey = "event"
	return zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, zap.InfoLevel)
}
