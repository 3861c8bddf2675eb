package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/standin/cloud"
	"monsoonlanding/internal/standin/engine"
	"monsoonlanding/internal/standin/platform"
	"monsoonlanding/internal/standin/service"
	"monsoonlanding/internal/tool/demo"
	"monsoonlanding/internal/tool/experiment"
)

func newDemo() *cobra.Command {
	var asJSON, verbose bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete system in one process and check its guarantees",
		Long: `Start 6 nodes and stand-ins on loopback, send more than 1,000 requests through
the public API while a node and an engine are reclaimed, a node is stopped and
the rules are changed, and check that every accepted request was answered once.`,
		Example: "  monsoonlanding demo --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log := zerolog.Nop()
			if verbose {
				log = zerolog.New(os.Stderr).With().Timestamp().Logger()
			}
			report, err := demo.Run(cmd.Context(), log)
			if err != nil {
				return errors.Wrap(err, "demo")
			}
			if asJSON {
				if err := printJSON(cmd, report); err != nil {
					return err
				}
			} else {
				report.Print(cmd.OutOrStdout())
			}
			if problems := report.Problems(); len(problems) > 0 {
				return errors.Errorf("demo: %d guarantees were violated", len(problems))
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "write the nodes' logs to standard error")
	return cmd
}

func newExperiment() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Compare the system with a baseline and print the results as JSON or CSV"}
	for _, e := range []struct {
		name, short string
		run         func(context.Context, int) (experiment.Report, error)
	}{
		{"overhead", "Compare the latency of the first token through a node with that of the engine alone", experiment.Overhead},
		{"acceptance", "Compare the latency of the first token with and without a backup of each request", experiment.Acceptance},
	} {
		cmd.AddCommand(newExperimentRun(e.name, e.short, e.run))
	}
	cmd.AddCommand(newExperimentMoves(), newExperimentPlacement())
	return cmd
}

func newExperimentPlacement() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:     "placement",
		Short:   "Compare ways of choosing an upstream on load patterns in virtual time, as CSV",
		Example: "  monsoonlanding experiment placement --seeds 5 > placement.csv",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return experiment.WritePlacement(cmd.OutOrStdout(), experiment.Placement(seeds))
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 5, "number of runs per load pattern and way of choosing")
	return cmd
}

func newExperimentMoves() *cobra.Command {
	var seeds int
	var lag time.Duration
	cmd := &cobra.Command{
		Use:     "moves",
		Short:   "Compare the policy of moves with a time-stepped canary on models of versions, as CSV",
		Example: "  monsoonlanding experiment moves --seeds 200 > moves.csv",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return experiment.WriteMoves(cmd.OutOrStdout(), experiment.Moves(seeds, lag))
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 200, "number of runs per version model and policy")
	cmd.Flags().DurationVar(&lag, "lag", 0, "delay of the evidence, rounded down to a multiple of 2s")
	return cmd
}

func newExperimentRun(name, short string, run func(context.Context, int) (experiment.Report, error)) *cobra.Command {
	var requests int
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  monsoonlanding experiment " + name + " --requests 500",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := run(cmd.Context(), requests)
			if err != nil {
				return errors.Wrap(err, "experiment "+name)
			}
			return printJSON(cmd, report)
		},
	}
	cmd.Flags().IntVar(&requests, "requests", 500, "number of requests to each of the two sides")
	return cmd
}

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an external system"}
	cmd.AddCommand(newStandinPlatform(), newStandinCloud(), newStandinEngine(), newStandinService())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var listen, token string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run the stand-in for the object API",
		Long:    `Run the stand-in for the object API. POST /control changes its faults: {"outage": true, "delay_ms": 50, "lose_every": 10}.`,
		Example: "  monsoonlanding standin platform --listen 127.0.0.1:7900 --token platform-token",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return listenAndServe(listen, platform.New(token)) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "address, as IP:port")
	cmd.Flags().StringVar(&token, "token", "platform-token", "bearer token that clients must present")
	return cmd
}

func newStandinCloud() *cobra.Command {
	var listen, token string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:     "cloud",
		Short:   "Run the stand-in for the cloud API",
		Long:    "Run the stand-in for the cloud API. PUT /v1/vms adds or changes a VM, PUT /v1/notices/NAME announces a reclaim.",
		Example: "  monsoonlanding standin cloud --listen 127.0.0.1:7901 --token platform-token",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return listenAndServe(listen, cloud.New(token, lag)) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7901", "address, as IP:port")
	cmd.Flags().StringVar(&token, "token", "platform-token", "bearer token that clients must present")
	cmd.Flags().DurationVar(&lag, "lag", 500*time.Millisecond, "delay until the list of VMs shows a change")
	return cmd
}

func newStandinEngine() *cobra.Command {
	var listen string
	var cfg engine.Config
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run the stand-in for a model engine",
		Long:    `Run the stand-in for a model engine. POST /control sets a fault: {"fault": "leaving"}, "error", "stall", "crash", "cut", "gap" or "".`,
		Example: "  monsoonlanding standin engine --listen 127.0.0.1:7910 --first-token 50ms",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return listenAndServe(listen, engine.New(cfg)) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7910", "address, as IP:port")
	cmd.Flags().IntVar(&cfg.Slots, "slots", 16, "maximum number of requests that run at the same time")
	cmd.Flags().DurationVar(&cfg.FirstTokenLatency, "first-token", 20*time.Millisecond, "latency of the first token")
	cmd.Flags().DurationVar(&cfg.EventInterval, "between-tokens", 5*time.Millisecond, "interval between tokens")
	return cmd
}

func newStandinService() *cobra.Command {
	var listen string
	var cfg service.Config
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run the stand-in for a plain service",
		Example: "  monsoonlanding standin service --listen 127.0.0.1:7920",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return listenAndServe(listen, service.New(cfg)) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7920", "address, as IP:port")
	cmd.Flags().IntVar(&cfg.Slots, "slots", 32, "maximum number of requests that run at the same time")
	cmd.Flags().DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "duration of a request")
	return cmd
}

// listenAndServe serves until the process receives SIGINT or SIGTERM.
func listenAndServe(address string, h http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Second}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	err := s.ListenAndServe()
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve stand-in on %s", address)
}
