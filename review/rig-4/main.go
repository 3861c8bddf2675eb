package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// host is the host name of all routes.
const host = "desk.example"

// deployment is a small deployment on loopback addresses.
type deployment struct {
	program, folder            string
	rec                        *recorder
	store                      *store
	storeAddress, cloudAddress string
	runs                       *runs
	nodes                      []*node
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
	defer func() {
		for _, n := range d.nodes {
			n.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	broken, err = run(d)
	for _, line := range broken {
		rec.printf("BROKEN    %s", line)
	}
	if err == nil && len(broken) == 0 {
		rec.printf("held")
	}
	return broken, err
}
