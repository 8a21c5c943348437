package main

import (
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// cancelCase: many submissions are cancelled, two fifths of them as soon as they are accepted.
func cancelCase(record *os.File, trouble bool) (*cluster, error) {
	const (
		agents      = 11
		length      = 80 * time.Second
		interval    = 70 * time.Millisecond // 14 submissions a second
		promptShare = 0.4
		stay        = 3 * time.Second // until the others are cancelled
		goneAfter   = cancelTime + stopMax
	)
	c, err := newCluster(record, 4, agents)
	if err != nil {
		return c, err
	}
	for i := range agents {
		if _, err := c.newRunner(i, resources{CPU: 64000, MemMB: 250000}); err != nil {
			return c, err
		}
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return c, err
	}
	time.Sleep(8 * time.Second)
	var requesters sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		prompt := trouble && rand.Float64() < promptShare
		requesters.Go(func() {
			s := c.submit(n, stepSpec{Count: 36, CPU: 100, MemMB: 100, EstimateMS: 500, LongRunning: true})
			if !prompt {
				time.Sleep(stay)
			}
			c.cancelJob(n, s)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval)))
	}
	requesters.Wait()
	time.Sleep(2 * goneAfter)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runners {
		for _, x := range r.active {
			s := c.jobOf(x.task)
			if age := time.Since(s.cancelAcked); !s.cancelAcked.IsZero() && age > goneAfter {
				c.breach("UNASKED", "%s run %d on %s still runs %.1f s after its cancel was acknowledged", x.task, x.number, r.name, age.Seconds())
			}
		}
	}
	return c, nil
}

// acksCase: a scheduled submission comes that can never be done, since no runner has the label that its
// second step needs. Others come all the while, which can be done.
func acksCase(record *os.File, trouble bool) (*cluster, error) {
	c, err := newCluster(record, 2, 4)
	if err != nil {
		return c, err
	}
	for i := range 4 {
		if _, err := c.newRunner(i, resources{CPU: 64000, MemMB: 250000}); err != nil {
			return c, err
		}
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return c, err
	}
	time.Sleep(8 * time.Second)
	scheduled := &submission{
		RunCount: 10_000, StartTimeMS: time.Now().Add(time.Second).UnixMilli(), IntervalMS: 20,
		Steps: []stepSpec{{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 20}, {Count: 1, CPU: 100, MemMB: 10, EstimateMS: 20, After: []int{0}}},
	}
	if trouble {
		scheduled.Steps[1].RequiredLabel = "kind-that-no-runner-has"
	}
	c.handIn(0, scheduled)
	var others []*submission
	for i := range 60 {
		others = append(others, c.submit(i, stepSpec{Count: 6, CPU: 1000, MemMB: 100, EstimateMS: 500}))
		time.Sleep(time.Second)
	}
	time.Sleep(15 * time.Second)
	open := 0
	for _, s := range others {
		if c.state(c.entries[0], s.ID) != "completed" {
			open++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ends, late := 0, 0
	for _, r := range c.runners {
		ends += int(r.endCount)
		for _, e := range r.ends {
			if time.Since(e.at) > ackTime {
				late++
			}
		}
	}
	c.logf("%d of %d other submissions are not shown as completed", open, len(others))
	c.logf("%d ends, %d of them listed and not taken note of for over %s", ends, late, ackTime)
	if late*5 > ends {
		c.breach("Acks", "%d of %d ends that runners list are not taken note of", late, ends)
	}
	return c, nil
}
