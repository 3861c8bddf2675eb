package main

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/run/node"
	"monsoonlanding/internal/run/settings"
)

func newServe() *cobra.Command {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a node",
		Long: `Run a node with the given settings. The first SIGTERM or SIGINT starts a
graceful shutdown, the second ends the process immediately.`,
		Example: `  monsoonlanding serve --settings examples/node.toml
  monsoonlanding serve --settings examples/node.toml --check`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(cmd, path)
			if err != nil || check {
				return err
			}
			return serve(s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func readSettings(cmd *cobra.Command, path string) (settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, withCode(exitUsage, errors.Wrap(err, "read settings"))
	}
	s, problems := settings.Parse(string(text))
	return s, reportProblems(cmd, path, problems)
}

// reportProblems prints the problems of a settings file and returns an error if
// there are any.
func reportProblems(cmd *cobra.Command, path string, problems []settings.Problem) error {
	for _, p := range problems {
		cmd.PrintErrln(path + ": " + p.String())
	}
	if len(problems) > 0 {
		return withCode(exitUsage, errors.Errorf("settings: %d errors in %s", len(problems), path))
	}
	return nil
}

func serve(s settings.Settings) error {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Wrap(err, "parse log level")
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	r, err := node.New(node.Config{Settings: s, Clock: clock.System{}, Log: log})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	stopOnSignal(r.Stop, r.Kill)
	return r.Run(context.Background())
}
