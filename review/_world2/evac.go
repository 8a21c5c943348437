package main

import (
	"fmt"
	"time"
)

const (
	evacVMs      = 6
	evacuateTime = 5 * time.Second
	evacZone     = "sur"
)

func init() { cases["evac"] = evacCase }

// evacCase kills the leading entry, which starts again, while a zone is out and tasks wait for room elsewhere.
func evacCase(w *world, trouble bool) ([]string, error) {
	w.linkMbps, w.extraRoutes = 20, 1800
	w.writeConfig()
	for i := range 3 {
		if err := w.startEntry(10+i, zones[i%2]); err != nil {
			return nil, err
		}
	}
	for i := range evacVMs {
		if _, err := w.startVM(100+i, zones[i%2], largeRunner); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	w.store.WriteOperator("evacuate/"+evacZone, []byte("{}"))
	confirmed := time.Now()
	w.log("op/evacuate/%s is confirmed", evacZone)
	time.Sleep(time.Second)
	id := "e0ac000000000001"
	if !w.submit(id, "wide", []step{{Count: 700, CPU: 2000, MemoryMB: 100, EstimateMS: 2000}}) {
		return nil, fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(time.Until(confirmed.Add(evacuateTime + 2*time.Second)))
	if trouble {
		leader, err := w.leader()
		if err != nil {
			return nil, err
		}
		w.log("the leading %s is killed", leader.name)
		leader.kill()
		time.Sleep(restartDelay)
		if err := w.start(leader); err != nil {
			return nil, err
		}
		w.log("%s is started again", leader.name)
	}
	time.Sleep(15 * time.Second)
	w.log("state of %s: %s", id, w.state(id))
	return w.checkEvacuated(confirmed), nil
}

// checkEvacuated returns the breaks of RULES (EVAC): a start in the zone later than evacuateTime after the
// confirmation. The agents and the store are undisturbed all the while.
func (w *world) checkEvacuated(confirmed time.Time) (findings []string) {
	zone := map[string]string{}
	for _, r := range w.runners {
		zone[r.id] = r.zone
	}
	w.mu.Lock()
	events := w.events
	w.mu.Unlock()
	counts := map[string]int{}
	for _, e := range events {
		if e.kind != "start" {
			continue
		}
		counts[zone[e.runner]]++
		if after := e.at.Sub(confirmed); zone[e.runner] == evacZone && after > evacuateTime {
			findings = append(findings, fmt.Sprintf("EVAC: run %d of %s starts on %s in %s at %.3f s, %.1f s after the evacuation was confirmed",
				e.run, e.task, e.runner, evacZone, e.at.Sub(w.began).Seconds(), after.Seconds()))
		}
	}
	w.log("starts by zone: %v", counts)
	return findings
}
