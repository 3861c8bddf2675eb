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
	// settingsVariable names the settings file where no flag does.
	settingsVariable = "MONSOONLANDING_CONFIG"
	// logLines bounds the log lines that wait to be written.
	logLines = 4096
	// logPoll is the time between two writes of waiting log lines.
	logPoll = 50 * time.Millisecond
	// platformConnect bounds a connection's way to the platform's services.
	platformConnect = time.Second
	// settingsInterval is the time between two readings of the settings file.
	settingsInterval = 5 * time.Second
	// platformIdle is how long idle connections to them are kept.
	platformIdle = 30 * time.Second
)

func newGateway() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a node on the users' platform",
		Long: `Run a node that serves callers of the users' platform. The settings file is
named by --settings or by ` + settingsVariable + `. The first SIGTERM or SIGINT starts
a graceful shutdown, the second ends the process at once.`,
		Example: `  monsoonlanding gateway --settings examples/gateway.toml
  monsoonlanding gateway --settings examples/gateway.toml --check`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readGateway(cmd, path)
			if err != nil || check {
				return err
			}
			return runGateway(cmd, path, s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(settingsVariable), "settings file")
	cmd.Flags().BoolVar(&check, "check", false, "only check the settings")
	return cmd
}

func readGateway(cmd *cobra.Command, path string) (settings.Gateway, error) {
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
		return errors.Wrap(err, "log level")
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := diode.NewWriter(os.Stdout, logLines, logPoll, gateway.CountDroppedLines)
	defer func() { _ = out.Close() }()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	client := platformClient()
	store := platform.NewStore(s.Platform.Store, client, gateway.CountStoreCall)
	cloud := platform.NewCloud(s.Platform.Cloud, s.Name, client)
	r, err := gateway.New(gateway.Config{
		Settings: s,
		Protocol: platform.Protocol(),
		Services: platform.Services(store, cloud),
		Clock:    clock.NewBoot(),
		Log:      log,
		Lines:    out,
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	stopOnSignal(r.Stop, r.Kill)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go followSettings(ctx, cmd, path, r)
	return r.Run(ctx)
}

// followSettings reads the settings again on SIGHUP, and from time to time
// since they may change without it. Bad settings are reported and left aside.
func followSettings(ctx context.Context, cmd *cobra.Command, path string, r *gateway.Runner) {
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
		if s, err := readGateway(cmd, path); err != nil {
			cmd.PrintErrln(err)
		} else {
			r.Reload(s)
		}
	}
}

// platformClient returns the HTTP client for the platform's store and API.
func platformClient() *http.Client {
	dialer := http1.Dialer(platformConnect)
	return &http.Client{Transport: &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: platformIdle,
	}}
}

// stopOnSignal stops on the first signal and kills on the second.
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
