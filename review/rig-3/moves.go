package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	movesLength  = 95 * time.Second
	releaseEvery = 5 * time.Second
	// streamsPerSecond is the rate of streams.
	streamsPerSecond = 120
	// engineCount is the number of replicas.
	engineCount = 8
	// For wrongFor out of each wrongEvery, from wrongAfter on, faultyShare of the replicas break off or
	// spoil wrongShare of their answers at most.
	wrongEvery  = 10 * time.Second
	wrongAfter  = 500 * time.Millisecond
	wrongFor    = 5 * time.Second
	faultyShare = 0.5
	wrongShare  = 0.02
	// routeTimeout is the route's timeout_ms and the clients' deadline.
	routeTimeout = 3 * time.Second
	// longestGap is after what pause clients leave: eight times the route's longest pause.
	longestGap = 3200 * time.Millisecond
)

// fleet holds the engines. Some of their answers are broken off or spoiled.
type fleet struct {
	rig *rig

	mu      sync.Mutex
	engines map[string]*engine
	answers int
	wrong   int
	// answersIn and wrongIn count the answers of the faulty replicas, by the time in which some go wrong.
	answersIn, wrongIn map[int]int
	// begin is when clients begin.
	begin time.Time
	// spoiled holds the requests whose first answer was spoiled.
	spoiled map[string]bool
}

func (f *fleet) answered(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if w := f.window(); w > 0 && isFaulty(number) {
		f.answersIn[w]++
	}
}

// isFaulty reports whether a replica is one of those that are faulty: every other one.
func isFaulty(number int) bool { return number%2 == 1 }

// window returns the number of the time in which answers go wrong now, 0 if it is none.
func (f *fleet) window() int {
	since := time.Since(f.begin) - wrongAfter
	if !f.rig.trouble || f.begin.IsZero() || since < 0 || since%wrongEvery >= wrongFor {
		return 0
	}
	return 1 + int(since/wrongEvery)
}

// takeWrong reports whether one more answer of a replica may go wrong, and leaves room for further ones:
// of the answers of the faulty replicas in this time, wrongShare may.
func (f *fleet) takeWrong(number, further int) bool {
	w := f.window()
	if w == 0 || !isFaulty(number) || float64(f.wrongIn[w]+1+further) > wrongShare*float64(f.answersIn[w]) {
		return false
	}
	f.wrong++
	f.wrongIn[w]++
	return true
}

// maySpoil reports whether the answer to a request is spoiled.
func (f *fleet) maySpoil(id string, number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.takeWrong(number, 1) {
		return false
	}
	f.spoiled[id] = true
	return true
}

// breakAfter returns the number of events behind which an answer is broken off, 0 for none.
func (f *fleet) breakAfter(id string, number int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.spoiled[id] || !f.takeWrong(number, 0) {
		return 0
	}
	return 1
}

func (f *fleet) copy(target, handle string, made int) {
	f.mu.Lock()
	e := f.engines[target]
	f.mu.Unlock()
	if e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.copies[handle] = made
	}
}

// start starts an engine and returns a function that lets it drain and leave.
func (f *fleet) start(number int) (leave func(), err error) {
	id := fmt.Sprintf("i-%d", number)
	e := &engine{fleet: f, id: id, number: number, runs: make(map[string]*run), copies: make(map[string]int)}
	if e.address, err = f.rig.serve(e); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.engines[e.address] = e
	f.mu.Unlock()
	born := time.Now().UnixMilli()
	beat := func(state string, seq int) {
		f.rig.store.put("servers", id, map[string]any{
			"service": "model", "addr": e.address, "zone": "z-a", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0,
			"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq, "born": born,
		})
	}
	beat("ready", 0)
	stop := make(chan struct{})
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-time.After(1200 * time.Millisecond):
				beat("ready", seq)
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		f.rig.record("%s drains", id)
		beat("draining", 1000)
		time.Sleep(4 * time.Second)
		f.rig.store.remove("servers", id)
	}, nil
}

// modelConfig is the operator's configuration.
func modelConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "ask", "hostname": "desk.example", "path_prefix": "/ask/", "type": "streaming", "timeout_ms": routeTimeout.Milliseconds(),
			"goal_ms": 500, "priority": 0, "service": "model", "attempts": 2, "public": true, "sticky": true, "can_resume": true, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "model", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_tokens": 701595, "kv_bytes": 163840, "link_mbps": 370000, "moves": true, "backups": false, "stride": 5,
				"most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// moves plays the replacement of engines, one after the other, while some answers are spoiled.
func moves(r *rig) (int, error) {
	f := &fleet{rig: r, engines: make(map[string]*engine), spoiled: make(map[string]bool), answersIn: make(map[int]int), wrongIn: make(map[int]int)}
	var leaves []func()
	for i := range engineCount {
		leave, err := f.start(i + 1)
		if err != nil {
			return 2, err
		}
		leaves = append(leaves, leave)
	}
	r.store.put("config", "main", modelConfig())
	if err := r.startNodes(3); err != nil {
		return 2, err
	}
	if err := r.awaitReady(); err != nil {
		return 2, err
	}
	begin := time.Now()
	f.mu.Lock()
	f.begin = begin
	f.mu.Unlock()
	go func() {
		for n := 0; time.Since(begin) < movesLength-releaseEvery; n++ {
			time.Sleep(releaseEvery)
			leave, err := f.start(n + engineCount + 1)
			if err != nil {
				return
			}
			leaves = append(leaves, leave)
			go leaves[n]()
		}
	}()
	var group sync.WaitGroup
	for n := 0; time.Since(begin) < movesLength; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / streamsPerSecond * float64(time.Second)))
		group.Go(func() { r.ask(fmt.Sprintf("s%06d", n)) })
	}
	group.Wait()
	return r.judgeTimeouts(f), nil
}

// ask sends a request for a stream and leaves as clients do.
func (r *rig) ask(id string) {
	n := r.nodes[rand.IntN(len(r.nodes))]
	req, err := http.NewRequest(http.MethodPost, "http://"+n.caller+"/ask/1", bytes.NewReader([]byte(strings.Repeat("b", 800))))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = "desk.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(routeTimeout.Milliseconds()), "Model": "m", "Token-Count": "600,600",
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%x:500", id),
	} {
		req.Header.Set(name, value)
	}
	sent := time.Now()
	r.saw(id, "sent to "+n.name)
	r.mu.Lock()
	r.sent[id] = sent
	r.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	events := 0
	end := func(how string) {
		r.saw(id, fmt.Sprintf("%s after %d events, %d ms", how, events, time.Since(sent).Milliseconds()))
	}
	final := func(how string) {
		end(how)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.final[id] = time.Since(sent)
	}
	resp, err := client.Do(req)
	if err != nil {
		final("no answer")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	gap := time.AfterFunc(longestGap, func() { _ = resp.Body.Close() })
	defer gap.Stop()
	left := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
			left = !gap.Reset(longestGap)
		}
	}
	switch {
	case !gap.Stop() || left:
		end("left by the client")
	case lines.Err() != nil:
		final("cut")
	default:
		final(fmt.Sprintf("ended with %d", resp.StatusCode))
	}
}

// judgeTimeouts applies CONFIG to the requests that were unanswered at their route's timeout.
func (r *rig) judgeTimeouts(f *fleet) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	atTimeout, late := 0, 0
	for id := range r.sent {
		took, answered := r.final[id]
		if answered && took <= routeTimeout {
			continue
		}
		atTimeout++
		if !answered || took > routeTimeout+500*time.Millisecond {
			late++
			fmt.Println("NO ANSWER", id, r.history[id])
		}
	}
	fmt.Println("streams:", len(r.sent), "answers of replicas:", f.answers, "broken off or spoiled:", f.wrong, "by time:", f.wrongIn, "of", f.answersIn,
		"unanswered at the timeout:", atTimeout, "and half a second later:", late)
	switch {
	case f.answers == 0:
		return 2
	case late >= 8 && 2*late > atTimeout:
		return 1
	default:
		return 0
	}
}
