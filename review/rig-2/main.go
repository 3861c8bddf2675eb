// Command rig2 plays one case of the review: it starts nodes with the command of the deploy file,
// and the stand-ins around them, and checks one rule by what clients, replicas and the platform see.
//
// # Usage
//
//	rig2 -case drill -dir review/6
//
// It runs in the root of the repository. The exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// A trouble selects the disruptions of a run, by the variable TROUBLE.
const (
	troubleNone = "0"
	troubleAll  = ""
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*rig) (bool, error){}

func main() {
	name := flag.String("case", "", "case to play")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(playCase(*name, *dir))
}

func playCase(name, dir string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig2: there is no case %q\n", name)
		return exitUnable
	}
	r, err := newRig(filepath.Join(dir, "record.txt"), os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitUnable
	}
	defer r.close()
	broken, err := play(r)
	switch {
	case err != nil:
		r.record("result: the case could not run: %v", err)
		return exitUnable
	case broken:
		r.record("result: the rule was broken")
		return exitBroken
	default:
		r.record("result: the rule held")
		return exitHeld
	}
}

// rig holds what a case has started.
type rig struct {
	trouble string
	started time.Time
	out     *recorder
	temp    string
	store   *store
	cloud   *cloud
	nodes   []*node
	// prefix is the network of the nodes' addresses, such as 127.81.3.
	prefix string
}

func newRig(recordPath, trouble string) (*rig, error) {
	out, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-rig-2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, started: time.Now(), out: out, temp: temp}
	if r.prefix, err = freeNetwork(); err != nil {
		return nil, err
	}
	if r.store, err = newStore(r.record); err != nil {
		return nil, err
	}
	if r.cloud, err = newCloud(r.record); err != nil {
		return nil, err
	}
	r.record("trouble: %q", trouble)
	return r, nil
}

func (r *rig) record(format string, args ...any) { r.out.add(format, args...) }

// close ends all processes of the case and removes its files.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.end()
	}
	r.out.close()
	_ = os.RemoveAll(r.temp)
}
