package main

import (
	"fmt"
	"sync"
	"time"

	"bamboowood/platform/platformtest"
)

// Sizes of the case "oneway".
const (
	onewayVMs      = 7
	onewayTime     = 5500 * time.Millisecond // one_way: 5.5 s
	replaceDelay   = 200 * time.Millisecond
	trafficPause   = time.Second / 15 // 5.64 submissions a second, and burst with x = 2.6
	trafficRunning = 8 * time.Second
)

func init() { cases["oneway"] = onewayCase }

// onewayCase lets nothing pass from one agent of seven to the entries, while its runner crashes and comes back
// as one of another kind. All submissions need the kind that it had.
func onewayCase(w *world, trouble bool) ([]string, error) {
	for i := range 2 {
		if err := w.startEntry(10+i, zones[i%2]); err != nil {
			return nil, err
		}
	}
	var proxy *platformtest.Proxy
	for i := range onewayVMs {
		p, err := platformtest.NewProxy(w.address(100+i, peerPort))
		if err != nil {
			return nil, err
		}
		if i == 0 {
			proxy = p
		}
		if err := w.startAgent(100+i, zones[i%2], p); err != nil {
			return nil, err
		}
		if _, err := w.startRunner(100+i, zones[i%2], largeRunner, "a"); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var traffic sync.WaitGroup
	for n := range int(trafficRunning / trafficPause) {
		id := fmt.Sprintf("40de00000000%04x", n)
		at := time.Duration(n) * trafficPause
		traffic.Go(func() {
			time.Sleep(at)
			w.submit(id, "labelled", []step{{Count: 14, CPU: 500, MemoryMB: 64, EstimateMS: 2000, Label: "a"}})
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.log("nothing passes from %s to the entries", w.agents[0].name)
		proxy.Block(platformtest.ToClient)
	}
	// Without trouble the runner is replaced as well.
	w.log("%s crashes", w.runners[0].id)
	w.runners[0].leave()
	time.Sleep(replaceDelay)
	r, err := w.startRunner(100, zones[0], largeRunner, "b")
	if err != nil {
		return nil, err
	}
	w.log("%s starts at its address", r.id)
	time.Sleep(onewayTime)
	proxy.ClearFaults()
	w.log("all passes again")
	traffic.Wait()
	time.Sleep(8 * time.Second)
	return w.checkRoute(), nil
}

// checkRoute returns the breaks of RULES (ROUTE): a start on a runner without the label in requiredLabel.
func (w *world) checkRoute() (findings []string) {
	label := map[string]string{}
	for _, r := range w.runners {
		label[r.id] = r.label
	}
	w.mu.Lock()
	events := w.events
	w.mu.Unlock()
	for _, e := range events {
		t, err := parseTask(e.task)
		if err != nil || e.kind != "start" {
			continue
		}
		if s, ok := w.step(t); ok && s.Label != "" && s.Label != label[e.runner] {
			findings = append(findings, fmt.Sprintf("ROUTE: run %d of %s, which needs the label %q, starts on %s, which has %q, at %.3f s",
				e.run, e.task, s.Label, e.runner, label[e.runner], e.at.Sub(w.began).Seconds()))
		}
	}
	return findings
}
