package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/internal/wire/operatorhttp"
)

// operatorTimeout bounds a call to a node. It is longer than a node waits for the
// platform when rules are replaced.
const operatorTimeout = 30 * time.Second

// operatorFlags holds the node's operator address and the token of the operator
// commands.
type operatorFlags struct {
	address string
	token   string
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "operator", "127.0.0.1:8201", "operator address of a node, as IP:port")
	cmd.Flags().StringVar(&f.token, "token", os.Getenv("MONSOONLANDING_TOKEN"), "operator token, by default from MONSOONLANDING_TOKEN")
}

func (f *operatorFlags) client() *operatorhttp.Client {
	client := &http.Client{
		Transport: http1.CheckedTransport(&http.Transport{MaxResponseHeaderBytes: http1.MaxHeadBytes}),
		Timeout:   operatorTimeout,
	}
	return operatorhttp.NewClient(f.address, f.token, client)
}

func newStatus() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show a node's view of the system as JSON",
		Example: "  monsoonlanding status --operator 127.0.0.1:8201 --token operator-token",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := f.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			return printJSON(cmd, s)
		},
	}
	f.add(cmd)
	return cmd
}

func printJSON(cmd *cobra.Command, v any) error {
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func newMove() *cobra.Command {
	cmd := &cobra.Command{Use: "move", Short: "Show the moves of traffic between versions"}
	cmd.AddCommand(newMoveStatus())
	return cmd
}

func newMoveStatus() *cobra.Command {
	var f operatorFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of each move and the reason for it",
		Long: `Show the state of each move and the reason for it, with the rule that requests
the move and the decisions so far. Only the node that drives a move has its
complete evidence.`,
		Example: "  monsoonlanding move status --operator 127.0.0.1:8201",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := f.client().Moves(cmd.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd, list)
			}
			for _, m := range list {
				printMove(cmd, m)
			}
			return nil
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the complete status as JSON")
	return cmd
}

func printMove(cmd *cobra.Command, m node.MoveStatus) {
	cmd.Printf("%s: %s\n", m.Name, m.Summary)
	cmd.Printf("  rule: %s\n", m.Rule)
	for _, r := range m.Evidence.Routes {
		cmd.Printf("  route %s: %s\n", r.Route, r)
	}
	for _, d := range m.Decisions {
		cmd.Printf("  %s share %.3g by %s: %s\n", d.At.UTC().Format(time.RFC3339), d.Share, d.By, d.Reason)
	}
}

func newRules() *cobra.Command {
	cmd := &cobra.Command{Use: "rules", Short: "Check, apply and show the rules"}
	cmd.AddCommand(newRulesCheck(), newRulesApply(), newRulesShow(), newRulesHistory())
	return cmd
}

func newRulesCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Report every error in a rules file",
		Example: "  monsoonlanding rules check examples/rules.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := readRules(cmd, args[0])
			return err
		},
	}
}

func readRules(cmd *cobra.Command, path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", withCode(exitUsage, errors.Wrap(err, "read rules"))
	}
	_, problems := operator.Parse(string(text))
	printProblems(cmd, path, problems)
	if len(problems) > 0 {
		return "", withCode(exitUsage, errors.Errorf("rules: %d errors in %s", len(problems), path))
	}
	return string(text), nil
}

func printProblems(cmd *cobra.Command, path string, problems []operator.Problem) {
	for _, p := range problems {
		cmd.PrintErrln(path + ":" + p.String())
	}
}

func newRulesApply() *cobra.Command {
	var f operatorFlags
	var base uint64
	var author string
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a rules file",
		Long: `Apply a rules file if the rules are still at the revision that was edited.
With --wait, also wait until the rules are in force on all live nodes, and report
the number of these nodes.`,
		Example: "  monsoonlanding rules apply rules.toml --base 7 --author 'R. Tremblay' --wait 7s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readRules(cmd, args[0])
			if err != nil {
				return err
			}
			a, err := f.client().Apply(cmd.Context(), base, text, uuid.NewString(), author)
			if err != nil {
				return err
			}
			return reportApplyResult(cmd, f, args[0], text, a, wait)
		},
	}
	f.add(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "revision that was edited, 0 for the first rules")
	cmd.Flags().StringVar(&author, "author", os.Getenv("USER"), "author of the change, for the history")
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the rules are in force on all live nodes")
	return cmd
}

func reportApplyResult(cmd *cobra.Command, f operatorFlags, path, text string, a operatorhttp.ApplyResult, wait time.Duration) error {
	switch a.Outcome {
	case node.ApplyAccepted:
		cmd.Printf("accepted as revision %d\n", a.Revision)
		if wait > 0 {
			return waitInForce(cmd, f, a.Revision, wait)
		}
		return nil
	case node.ApplyConflict:
		cmd.PrintErrf("the rules are at revision %d now; lines that differ from the given file:\n", a.Revision)
		for _, line := range operator.DiffLines(a.Text, text) {
			cmd.PrintErrln("  " + line)
		}
		return withCode(exitConflict, errors.Errorf("apply rules: conflict with the current revision %d", a.Revision))
	case node.ApplyInvalid:
		printProblems(cmd, path, a.Problems)
		return withCode(exitUsage, errors.New("apply rules: rejected by the node as invalid"))
	}
	return errors.New("apply rules: the platform is not available, no change was confirmed")
}

// waitInForce polls the node until all live nodes report the revision or a later
// one.
func waitInForce(cmd *cobra.Command, f operatorFlags, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	have, live := 0, 0
	for {
		s, err := f.client().Status(ctx)
		if err == nil {
			have, live = countInForce(s, revision)
		}
		if live > 0 && have == live {
			cmd.Printf("in force on %d of %d live nodes\n", have, live)
			return nil
		}
		if !(clock.System{}).Sleep(ctx, 100*time.Millisecond) {
			return errors.Errorf("apply rules: in force on %d of %d live nodes after %s", have, live, wait)
		}
	}
}

func countInForce(s operatorhttp.Status, revision uint64) (have, live int) {
	for _, m := range s.Members {
		if m.State != peer.Alive {
			continue
		}
		live++
		if s.Revisions[m.ID] >= revision {
			have++
		}
	}
	return have, live
}

func newRulesShow() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Print the rules in force at a node",
		Example: "  monsoonlanding rules show > rules.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := f.client().Rules(cmd.Context())
			if err != nil {
				return err
			}
			cmd.PrintErrf("revision %d\n", r.Revision)
			_, err = cmd.OutOrStdout().Write([]byte(r.Text))
			return err
		},
	}
	f.add(cmd)
	return cmd
}

func newRulesHistory() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "Show the changes of the rules with their times and authors",
		Example: "  monsoonlanding rules history",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := f.client().History(cmd.Context())
			if err != nil {
				return err
			}
			before := ""
			for _, d := range list {
				cmd.Printf("revision %d, %s, by %s\n", d.Revision, d.Accepted.UTC().Format(time.RFC3339), d.Author)
				cmd.Println("  " + strings.Join(operator.DiffLines(before, d.Text), "\n  "))
				before = d.Text
			}
			return nil
		},
	}
	f.add(cmd)
	return cmd
}
