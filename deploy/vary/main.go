package main

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:          "vary SITE",
		Short:        "write a variation of a site file",
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			site, err := readSite(args[0])
			if err != nil {
				return err
			}
			newVariation(seed).apply(site)
			if err := toml.NewEncoder(cmd.OutOrStdout()).Encode(site); err != nil {
				return errors.Wrap(err, "write variation")
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the variation")
	return cmd
}

// readSite decodes a site file and makes its path to the wire file absolute, as
// the variation may be stored in another directory.
func readSite(path string) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read site")
	}
	var site map[string]any
	if err := toml.Unmarshal(text, &site); err != nil {
		return nil, errors.Wrapf(err, "decode site %s", path)
	}
	wire, ok := site["wire"].(string)
	if !ok {
		return nil, errors.Errorf("site %s: wire is missing or not a string", path)
	}
	absolute, err := filepath.Abs(filepath.Join(filepath.Dir(path), wire))
	if err != nil {
		return nil, errors.Wrap(err, "resolve path of wire file")
	}
	site["wire"] = absolute
	return site, nil
}
