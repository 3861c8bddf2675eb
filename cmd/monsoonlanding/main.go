// Command monsoonlanding serves callers of model engines and plain services
// that run on reclaimable VMs.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailure = 1
	// exitUsage: the arguments, settings or rules are invalid.
	exitUsage = 2
	// exitConflict: someone else has changed the rules since the base revision.
	exitConflict = 3
	// exitRefused: the system refused the request.
	exitRefused = 4
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error { return &exitError{code: code, err: err} }

// version is set by the linker in releases.
var version = "dev"

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "monsoonlanding: "+err.Error())
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "monsoonlanding",
		Short: "Serve callers of back ends that run on reclaimable VMs",
		Long: `monsoonlanding stands between callers and the model engines and plain services
that run on reclaimable VMs. It answers every accepted request exactly once and
completely.

Exit codes: 0 success, 1 failure, 2 invalid arguments, settings or rules,
3 the rules were changed by someone else, 4 the request was refused.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return withCode(exitUsage, err) })
	root.AddCommand(newServe(), newGateway(), newExplain(), newRules(), newMove(), newStatus(), newAddresses(), newRequest(), newLoad(), newDemo(), newExperiment(), newStandin(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  monsoonlanding version",
		Args:    cobra.NoArgs,
		Run:     func(cmd *cobra.Command, _ []string) { cmd.Println(version) },
	}
}
