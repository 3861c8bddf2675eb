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
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/run/gateway"
	"monsoonlanding/internal/run/settings"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/platform"
)

const (
	// settingsEnv is the environment variable that names the settings file if
	// --settings is not given.
	settingsEnv = "MONSOONLANDING_CONFIG"
	// maxQueuedLogLines bounds the log lines that are queued for writing; more
	// are dropped and counted.
	maxQueuedLogLines = 4096
	// logPollInterval is the interval between writes of queued log lines.
	logPollInterval = 50 * time.Millisecond
	// platformConnectTimeout bounds connecting to the platform's store or cloud API.
	platformConnectTimeout = time.Second
	// settingsInterval is the interval between readings of the settings file.
	settingsInterval = 5 * time.Second
	// platformIdleTimeout bounds how long idle connections to the platform are kept.
	platformIdleTimeout = 30 * time.Second
)

func newGateway() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a node on the users' platform",
		Long: `Run a node that serves callers of the users' platform. The settings file is
named by --settings or by ` + settingsEnv + `. The first SIGTERM or SIGINT starts
a graceful shutdown, the second ends the process immediately.`,
		Example: `  monsoonlanding gateway --settings examples/gateway.toml
  monsoonlanding gateway --settings examples/gateway.toml --check`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readGatewaySettings(cmd, path)
			if err != nil || check {
				return err
			}
			return runGateway(cmd, path, s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(settingsEnv), "settings file")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

func readGatewaySettings(cmd *cobra.Command, path string) (settings.Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Gateway{}, withCode(exitUsage, errors.Wrap(err, "read settings"))
	}
	s, problems := settings.ParseGateway(string(text))
	return s, reportProblems(cmd, path, problems)
}

func runGateway(cmd *cobra.Command, path string, s settings.Gateway) error {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Wrap(err, "parse log level")
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := diode.NewWriter(os.Stdout, maxQueuedLogLines, logPollInterval, gateway.CountDroppedLines)
	defer func() { _ = out.Close() }()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	client := platformClient()
	store := platform.NewStore(s.Platform.Store, client, gateway.CountStoreCall)
	cloud := platform.NewCloud(s.Platform.Cloud, s.Name, client)
	r, err := gateway.New(gateway.Config{
		Settings:  s,
		Protocol:  platform.Protocol(),
		Services:  platform.Services(store, cloud),
		Clock:     clock.NewBootTime(),
		Log:       log,
		LogOutput: out,
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	stopOnSignal(r.Stop, r.Kill)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reloadSettings(ctx, cmd, path, r)
	return r.Run(ctx)
}

// reloadSettings reloads the settings on SIGHUP and every settingsInterval, as
// the file may change without a signal. Invalid settings are reported and not
// applied.
func reloadSettings(ctx context.Context, cmd *cobra.Command, path string, r *gateway.Runner) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		if s, err := readGatewaySettings(cmd, path); err != nil {
			cmd.PrintErrln(err)
		} else {
			r.Reload(s)
		}
	}
}

// platformClient returns the HTTP client for the platform's store and cloud API.
func platformClient() *http.Client {
	dialer := http1.Dialer(platformConnectTimeout)
	return &http.Client{Transport: http1.CheckedTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        platformIdleTimeout,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	})}
}

// stopOnSignal calls stop on the first SIGTERM or SIGINT and kill on the second.
func stopOnSignal(stop, kill func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		kill()
	}()
}
