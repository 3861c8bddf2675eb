// Dayplot draws a day from the logs of all nodes. It is a separate program so that
// the node's binary does not contain the fonts and libraries for drawing.
package main

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/tool/dayplot"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:          "dayplot LOG...",
		Short:        "Draw latency, waiting and refused requests and ready upstreams per second",
		Example:      "  dayplot --out day.svg edge-a.log edge-b.log",
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE:         func(_ *cobra.Command, paths []string) error { return draw(out, paths) },
	}
	cmd.Flags().StringVar(&out, "out", "day.svg", "output file: .svg, .png or .pdf")
	return cmd
}

func draw(out string, paths []string) error {
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	day, err := dayplot.Read(logs...)
	if err != nil {
		return err
	}
	return day.Draw(out)
}
