package main

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/tool/load"
	"monsoonlanding/internal/wire/callerhttp"
	"monsoonlanding/internal/wire/http1"
)

// callerFlags holds the node addresses and the team key of the caller commands.
type callerFlags struct {
	nodes []string
	key   string
}

func (f *callerFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.nodes, "node", []string{"127.0.0.1:8001"}, "caller addresses of one or more nodes, as IP:port")
	cmd.Flags().StringVar(&f.key, "key", os.Getenv("MONSOONLANDING_KEY"), "bearer key of the team, by default from MONSOONLANDING_KEY")
}

func (f *callerFlags) client() *callerhttp.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxResponseHeaderBytes: http1.MaxHeadBytes}
	return callerhttp.NewClient(f.nodes, f.key, &http.Client{Transport: http1.CheckedTransport(transport)}, clock.System{})
}

func newAddresses() *cobra.Command {
	var f callerFlags
	cmd := &cobra.Command{
		Use:     "addresses",
		Short:   "Print the addresses of the nodes to use, as JSON",
		Example: "  monsoonlanding addresses --node 127.0.0.1:8001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := f.client().Addresses(cmd.Context())
			if err != nil {
				return err
			}
			return printJSON(cmd, list)
		},
	}
	f.add(cmd)
	return cmd
}

func newRequest() *cobra.Command {
	var f callerFlags
	var call callerhttp.Call
	cmd := &cobra.Command{
		Use:   "request SERVICE [BODY]",
		Short: "Send one request and stream its answer",
		Long: `Send one request and stream its answer. The body is a JSON document; it is read
from standard input if it is not given. If the connection breaks, the answer is
resumed at another node.`,
		Example: `  monsoonlanding request plans '{"prompt": "Cape Race to site 4", "max_tokens": 40}' --key crew-key`,
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			call.Service = args[0]
			body, err := readBody(cmd, args)
			if err != nil {
				return err
			}
			call.Body = body
			return sendRequest(cmd, f, call)
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&call.Key, "idempotency-key", "", "idempotency key, by default a new UUID")
	cmd.Flags().DurationVar(&call.Timeout, "timeout", time.Minute, "timeout of the request")
	cmd.Flags().IntVar(&call.Priority, "priority", 0, "priority within the team, from -9 to 9")
	cmd.Flags().BoolVar(&call.NonIdempotent, "non-idempotent", false, "mark the request as one that may run at most once")
	return cmd
}

func readBody(cmd *cobra.Command, args []string) ([]byte, error) {
	if len(args) == 2 {
		return []byte(args[1]), nil
	}
	body, err := io.ReadAll(cmd.InOrStdin())
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return body, nil
}

func sendRequest(cmd *cobra.Command, f callerFlags, call callerhttp.Call) error {
	if call.Key == "" {
		call.Key = uuid.NewString()
	}
	result, err := f.client().Do(cmd.Context(), call, func(token string) { cmd.Print(token) })
	if err != nil {
		return err
	}
	if r := result.Refusal; r != nil {
		return withCode(exitRefused, errors.Errorf("request %s refused at step %s: reason %s, outcome %s: %s", call.Key, r.Step, r.Reason, r.Outcome, r.Detail))
	}
	if len(result.Body) > 0 {
		cmd.Print(string(result.Body))
	}
	cmd.Println()
	return nil
}

func newLoad() *cobra.Command {
	var f callerFlags
	var kinds []string
	cfg := load.Config{Clock: clock.System{}, MaxInFlight: 1000}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Generate an open-loop load and print latencies as JSON",
		Long: `Send requests of up to four kinds at a fixed rate, whether or not earlier ones
have been answered, and print latency percentiles and outcomes as JSON. The
system must have the services plans, questions, bookings and tags.`,
		Example: "  monsoonlanding load --node 127.0.0.1:8001 --key crew-key --rate 50 --duration 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Rate <= 0 || cfg.Rate > maxLoadRate || cfg.Duration <= 0 || cfg.Duration > maxLoadDuration {
				return withCode(exitUsage, errors.Errorf("load: the rate must be more than 0 and at most %d per second, the duration more than 0 and at most %s", maxLoadRate, maxLoadDuration))
			}
			cfg.Mix = load.MixOf(kinds)
			if len(cfg.Mix) == 0 {
				return withCode(exitUsage, errors.Errorf("load: no known kind of request in %q", kinds))
			}
			cfg.Clients = []*callerhttp.Client{f.client()}
			return printJSON(cmd, load.Run(cmd.Context(), cfg))
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&cfg.Verify, "checked", false, "verify the answers, which requires the stand-ins as upstreams")
	cmd.Flags().Float64Var(&cfg.Rate, "rate", 20, "requests per second")
	cmd.Flags().DurationVar(&cfg.Duration, "duration", 10*time.Second, "duration of the load")
	cmd.Flags().StringSliceVar(&kinds, "kinds", []string{"draft", "question", "booking", "tag"}, "kinds of request to send")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "seed of the random order of the kinds")
	return cmd
}

const (
	// maxLoadRate bounds the rate, in requests per second.
	maxLoadRate     = 2000
	maxLoadDuration = 10 * time.Minute
)
