package main

import (
	"fmt"
	"strings"
	"time"
)

// Sizes of the case "starve".
const (
	starveVMs     = 8
	starveWatch   = 16
	starveMembers = 56
)

func init() { cases["starve"] = starveCase }

// starveCase loses one runner of eight for good, while a watch runs on all of them, so that a gang that is
// submitted then has to wait for room. The gang's spec has 4,000 bytes, as many as the pages allow.
func starveCase(w *world, trouble bool) ([]string, error) {
	w.linkMbps = 10 // the front machines of the grown sites have 10 to 200 Mbit/s
	for i := range 2 {
		if err := w.startEntry(10+i, zones[i%2]); err != nil {
			return nil, err
		}
	}
	for i := range starveVMs {
		if _, err := w.startVM(100+i, zones[i%2], largeRunner); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	watch, gang := "1a57000000000001", "6a6e000000000001"
	w.low[watch] = true
	if !w.submit(watch, "watch", []step{{Count: starveWatch, CPU: 1000, MemoryMB: 100, EstimateMS: 1000, LongRunning: true}}) {
		return nil, fmt.Errorf("the watch was not accepted")
	}
	time.Sleep(5 * time.Second)
	disturbed := time.Now()
	if trouble {
		w.log("%s is gone for good", w.runners[0].id)
		w.runners[0].leave()
	}
	if !w.submit(gang, strings.Repeat("gang ", 800), []step{{Count: starveMembers, CPU: 8000, MemoryMB: 1000, EstimateMS: 60_000, Gang: true}}) {
		return nil, fmt.Errorf("the gang was not accepted")
	}
	lackedRoom := w.waitForWatch(30*time.Second, 1000)
	w.log("state of the watch: %s, of the gang: %s", w.state(watch), w.state(gang))
	return w.checkWatch(watch, starveWatch, disturbed, lackedRoom), nil
}
