package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"briarworks.example/briarworks/internal/fakes"
)

func main() {
	root := &cobra.Command{
		Use: "briarfake", Short: "Run fakes of the log, a backend server and callers",
		SilenceUsage: true,
	}
	root.AddCommand(logCommand(), serverCommand(), callerCommand(), waitCommand(), reportCommand(), platformCommand(), soakCommand(), costCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// listenAndServe runs an HTTP server until ctx ends and then shuts it down.
func listenAndServe(ctx context.Context, srv *http.Server, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = srv.Shutdown(shutdownCtx)
	})
	defer stop()
	if err = srv.Serve(ln); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func logCommand() *cobra.Command {
	log := &fakes.Log{}
	var listen string
	cmd := &cobra.Command{
		Use: "log", Short: "Run a fake of the platform's log",
		Example: "  briarfake log --listen 127.0.0.1:9000",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return listenAndServe(cmd.Context(), &http.Server{Handler: log}, listen)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	cmd.Flags().DurationVar(&log.MaxAge, "retention", 0, "age after which records are trimmed; 0 keeps them")
	cmd.Flags().Float64Var(&log.Faults.AppendRate, "appendRate", 400, "maximum appends a second; 0 has no limit")
	return cmd
}

func serverCommand() *cobra.Command {
	backend := &fakes.Backend{}
	var listen string
	var behaviour fakes.Behaviour
	var work, cold time.Duration
	var calls []string
	c := &cobra.Command{
		Use: "server", Short: "Run a fake backend server",
		Example: "  briarfake server --listen 127.0.0.1:8001 --service calendar --node http://127.0.0.1:7101 --call /route-sheets=dispatch",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, spec := range calls {
				prefix, service, ok := strings.Cut(spec, "=")
				if !ok {
					return fmt.Errorf("--call %q is not PREFIX=SERVICE", spec)
				}
				backend.Downstreams = append(backend.Downstreams, fakes.Downstream{Prefix: prefix, Service: service})
			}
			behaviour.Work, behaviour.WarmUp = fakes.Duration(work), fakes.Duration(cold)
			backend.SetBehaviour(behaviour)
			srv := &http.Server{Handler: backend, ConnState: func(_ net.Conn, spec http.ConnState) { backend.ConnState(spec) }}
			return listenAndServe(c.Context(), srv, listen)
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8001", "address to listen on")
	flags.StringVar(&backend.Service, "service", "", "name of the service")
	flags.StringVar(&backend.NodeURL, "node", "", "base URL of the local port of the node")
	flags.StringArrayVar(&calls, "call", nil, "PREFIX=SERVICE: requests under PREFIX call SERVICE")
	flags.IntVar(&behaviour.Slots, "slots", 0, "maximum number of concurrent requests; 0 has no limit")
	flags.IntVar(&behaviour.Queue, "queue", 0, "maximum number of requests that wait for a slot")
	flags.DurationVar(&work, "work", 5*time.Millisecond, "processing time of each request")
	flags.DurationVar(&cold, "cold", 0, "warm-up time after the start, in which requests take longer")
	return c
}

func callerCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "caller", Short: "Send a bounded load and report the outcomes that the callers saw",
		Example: "  briarfake caller --load load.json > report.json",
		RunE: func(c *cobra.Command, _ []string) error {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			var load fakes.Load
			if err = json.Unmarshal(data, &load); err != nil {
				return err
			}
			report, err := load.Run(c.Context())
			if err != nil {
				return err
			}
			return json.NewEncoder(c.OutOrStdout()).Encode(report)
		},
	}
	c.Flags().StringVar(&file, "load", "", "JSON file that describes the load")
	_ = c.MarkFlagRequired("load")
	return c
}
