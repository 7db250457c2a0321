// Command briarfake runs the stand-ins for the platform's log, a backend server and callers as
// processes. It is for tests and demonstrations and no part of the product.
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
		Use: "briarfake", Short: "Stand-ins for the log, a backend server and callers",
		SilenceUsage: true,
	}
	root.AddCommand(logCommand(), serverCommand(), callerCommand(), waitCommand(), reportCommand(), platformCommand(), soakCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// serve runs an HTTP handler until ctx ends.
func serve(ctx context.Context, srv *http.Server, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		short, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = srv.Shutdown(short)
	})
	defer stop()
	if err = srv.Serve(ln); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func logCommand() *cobra.Command {
	l := &fakes.Log{}
	var listen string
	c := &cobra.Command{
		Use: "log", Short: "Run the platform's log",
		Example: "  briarfake log --listen 127.0.0.1:9000",
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), &http.Server{Handler: l}, listen)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	c.Flags().DurationVar(&l.MaxAge, "retention", 0, "age after which records are trimmed; 0 keeps them")
	c.Flags().Float64Var(&l.Faults.AppendRate, "appendRate", 400, "appends a second that are taken")
	return c
}

func serverCommand() *cobra.Command {
	b := &fakes.Backend{}
	var listen string
	var v fakes.Behaviour
	var work, cold time.Duration
	var calls []string
	c := &cobra.Command{
		Use: "server", Short: "Run a backend server",
		Example: "  briarfake server --listen 127.0.0.1:8001 --service calendar --node http://127.0.0.1:7101 --call /route-sheets=dispatch",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, s := range calls {
				prefix, service, ok := strings.Cut(s, "=")
				if !ok {
					return fmt.Errorf("--call %q is not PREFIX=SERVICE", s)
				}
				b.Steps = append(b.Steps, fakes.Step{Prefix: prefix, Service: service})
			}
			v.Work, v.Cold = fakes.Duration(work), fakes.Duration(cold)
			b.Behave(v)
			srv := &http.Server{Handler: b, ConnState: func(_ net.Conn, s http.ConnState) { b.ConnState(s) }}
			return serve(c.Context(), srv, listen)
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8001", "address to listen on")
	f.StringVar(&b.Service, "service", "", "name of the service")
	f.StringVar(&b.Node, "node", "", "base URL of the node's local port")
	f.StringArrayVar(&calls, "call", nil, "PREFIX=SERVICE: requests under PREFIX call SERVICE")
	f.IntVar(&v.Slots, "slots", 0, "requests at a time; 0 has no limit")
	f.IntVar(&v.Queue, "queue", 0, "requests that wait for a slot")
	f.DurationVar(&work, "work", 5*time.Millisecond, "own time for each request")
	f.DurationVar(&cold, "cold", 0, "time after the start in which work is slower")
	return c
}

func callerCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "caller", Short: "Send a bounded load and report what the callers were told",
		Example: "  briarfake caller --load load.json > report.json",
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			var l fakes.Load
			if err = json.Unmarshal(text, &l); err != nil {
				return err
			}
			rep, err := l.Run(c.Context())
			if err != nil {
				return err
			}
			return json.NewEncoder(c.OutOrStdout()).Encode(rep)
		},
	}
	c.Flags().StringVar(&file, "load", "", "JSON file of the load")
	_ = c.MarkFlagRequired("load")
	return c
}
