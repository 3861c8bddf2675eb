package main

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/tool/explain"
)

func newExplain() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:     "explain LOG...",
		Short:   "Show the decisions on a request from the logs of all nodes",
		Example: "  monsoonlanding explain --id 9c41d07be2a35f68 edge-a.log edge-b.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			var logs []io.Reader
			for _, path := range paths {
				f, err := os.Open(path)
				if err != nil {
					return withCode(exitUsage, errors.Wrap(err, "open log"))
				}
				defer func() { _ = f.Close() }()
				logs = append(logs, f)
			}
			trace, err := explain.Read(id, logs...)
			if err != nil {
				return err
			}
			return trace.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the request")
	_ = cmd.MarkFlagRequired("id")
	return cmd
}
