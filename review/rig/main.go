// Command rig plays the cases of the review: it starts nodes of the project as processes, with
// stand-ins of the platform, the replicas and the clients on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	rootFlag   = flag.String("root", ".", "root of the repository")
	recordFlag = flag.String("record", "record.txt", "file for what was sent, answered and run")
	keepFlag   = flag.Bool("keep", false, "keep the logs of the nodes")
)

// trouble is set unless the disruption is left out (TROUBLE=0).
var trouble = os.Getenv("TROUBLE") != "0"

// cleanup ends what was started.
var cleanup = func() {}

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends a case that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case could not run: "+format+"\n", args...)
	if record != nil {
		note("case could not run: "+format, args...)
	}
	cleanup()
	os.Exit(2)
}

// verdict is the result of a case: the rule's breaches.
type verdict struct {
	rule     string
	breaches []string
}

func main() {
	flag.Parse()
	var err error
	if record, err = os.Create(*recordFlag); err != nil {
		fatal("record: %v", err)
	}
	cases := map[string]func() verdict{
		"twice": caseTwice,
		"cut":   caseCut,
		"long":  caseLong,
	}
	play := cases[flag.Arg(0)]
	if play == nil {
		fatal("no case %q", flag.Arg(0))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { fatal("ended by %v", <-signals) }()
	time.AfterFunc(115*time.Second, func() { fatal("took longer than 115 s") })
	note("case %s, trouble %t", flag.Arg(0), trouble)
	v := play()
	cleanup()
	for _, b := range v.breaches {
		note("%s broken: %s", v.rule, b)
	}
	if len(v.breaches) > 0 {
		fmt.Printf("%s broken %d times, first: %s\n", v.rule, len(v.breaches), v.breaches[0])
		os.Exit(1)
	}
	note("%s held", v.rule)
	fmt.Printf("%s held\n", v.rule)
}
