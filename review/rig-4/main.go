package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// host is the host name of all routes.
const host = "desk.example"

// maxDuration bounds a case, the end of its processes included.
const maxDuration = 110 * time.Second

// deployment is a small deployment on loopback addresses.
type deployment struct {
	program, folder            string
	rec                        *recorder
	store                      *store
	storeAddress, cloudAddress string
	runs                       *runs
	nodes                      []*node
	// end ends the nodes and removes their folder, once.
	end func()
	// trouble is set unless the disruption is left out.
	trouble bool
}

// cases holds the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(*deployment) ([]string, error){
	"service": otherService,
	"state":   readyAgain,
}

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/monsoonlanding", "program under test")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	broken, err := play(*name, *program, *record)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, line := range broken[:min(len(broken), 5)] {
			fmt.Println(line)
		}
		fmt.Printf("broken: %d\n", len(broken))
		os.Exit(1)
	}
	fmt.Println("held")
}

// play plays a case and ends all processes that it has started.
func play(name, program, record string) (broken []string, err error) {
	run, known := cases[name]
	if !known {
		return nil, errors.Errorf("no case %q", name)
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig-4-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		program: program, folder: folder, rec: rec, store: newStore(rec), runs: &runs{},
		trouble: os.Getenv("TROUBLE") != "0",
	}
	d.storeAddress, d.cloudAddress = d.store.start(), serve(&cloud{rec: rec})
	d.end = sync.OnceFunc(d.endNodes)
	defer d.end()
	go d.endEarly()
	broken, err = run(d)
	for _, line := range broken {
		rec.printf("BROKEN    %s", line)
	}
	if err == nil && len(broken) == 0 {
		rec.printf("held")
	}
	return broken, err
}

// endNodes ends all processes that the case has started.
func (d *deployment) endNodes() {
	for _, n := range d.nodes {
		n.kill()
	}
	_ = os.RemoveAll(d.folder)
}

// endEarly ends a case that is interrupted or takes too long: it could not run.
func (d *deployment) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	d.end()
	os.Exit(2)
}
