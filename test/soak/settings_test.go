package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the platform for changes of the configuration.
const (
	// contactTime is the time after the last disturbance of an entry from which on the bounds
	// apply to it.
	contactTime = 3 * time.Second
	// configDeadline is the time from the confirmation of a configuration until requests may
	// not be decided by an older one.
	configDeadline = 2 * time.Second
	// downgradeSlack is the time after an entry has shown a configuration until requests may
	// not be decided by an older one.
	downgradeSlack = 250 * time.Millisecond
)

// Rates of the generated changes and probes.
const (
	maxConfigInterval = 1500 * time.Millisecond
	probeInterval     = 20 * time.Millisecond
	maxExtraRoutes    = 5
)

// configVersion is one configuration. It was written between sentAt and confirmedAt.
type configVersion struct {
	extraRoutes         []string
	sentAt, confirmedAt time.Time
}

// disturbanceKind is how a fault affects an entry.
type disturbanceKind int

const (
	// disrupted: its process, its connections or the store are disrupted.
	disrupted disturbanceKind = iota
	// replaced: its process is replaced.
	replaced
	// refused: only the store refuses its calls. It may keep serving routes that it knows, but
	// must not answer that there is no such route.
	refused
)

// disturbance is a time in which a fault affected an entry.
type disturbance struct {
	from, to time.Time
	how      disturbanceKind
}

// probe is a request that shows whether an entry has a route.
type probe struct {
	entry            *process
	route            string
	sentAt, answered time.Time
	served           bool
}

// settingsCheck changes the configuration during a run, and checks which configurations the
// entries' answers show.
type settingsCheck struct {
	cluster *cluster
	client  *http.Client

	mu           sync.Mutex
	versions     []configVersion
	probes       []probe
	disturbances map[*process][]disturbance
}

func newSettingsCheck(cl *cluster) *settingsCheck {
	now := time.Now()
	return &settingsCheck{
		cluster: cl, client: &http.Client{Transport: &http.Transport{}, Timeout: time.Second},
		versions: []configVersion{{sentAt: now, confirmedAt: now}}, disturbances: map[*process][]disturbance{},
	}
}

// disturb records a disturbance of entries from the given time to now.
func (c *settingsCheck) disturb(entries []*process, from time.Time, how disturbanceKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range entries {
		c.disturbances[p] = append(c.disturbances[p], disturbance{from, time.Now(), how})
	}
}

// encodeConfig returns the configuration with extra routes.
func encodeConfig(version int, extraRoutes []string) []byte {
	routes := []map[string]any{{
		"name": "r", "host": host, "pathPrefix": prefix, "service": service, "maxAttempts": maxAttempts, "stretch": 2, "sloMs": 1000,
	}}
	for _, r := range extraRoutes {
		routes = append(routes, map[string]any{
			"name": r, "host": host, "pathPrefix": "/" + r + "/", "service": service, "maxAttempts": 1, "stretch": 2, "sloMs": 1000,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": service, "admissionCheck": false}},
		"limits": map[string]any{"maxBodyBytes": 100_000},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return data
}

// run changes the configuration and probes the entries until ctx ends.
func (c *settingsCheck) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.changeRoutes(ctx) })
	for i, p := range c.cluster.entries {
		group.Go(func() { c.probeEntry(ctx, p, rand.New(rand.NewPCG(uint64(c.cluster.seed), uint64(100+i)))) })
	}
	group.Wait()
}

// changeRoutes adds or removes one route at random intervals.
func (c *settingsCheck) changeRoutes(ctx context.Context) {
	r := rand.New(rand.NewPCG(uint64(c.cluster.seed), 7))
	for n := 2; ctx.Err() == nil; n++ {
		c.mu.Lock()
		routes := slices.Clone(c.versions[len(c.versions)-1].extraRoutes)
		c.mu.Unlock()
		if len(routes) == maxExtraRoutes || len(routes) > 0 && r.IntN(2) == 0 {
			i := r.IntN(len(routes))
			routes = slices.Delete(routes, i, i+1)
		} else {
			routes = append(routes, fmt.Sprintf("route-%d", n))
		}
		v := configVersion{extraRoutes: routes, sentAt: time.Now()}
		c.cluster.store.WriteOperator("config", c.cluster.withAdvice(encodeConfig(n, routes)))
		v.confirmedAt = time.Now()
		c.mu.Lock()
		c.versions = append(c.versions, v)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(r, 0, maxConfigInterval)):
		}
	}
}

// probeEntry asks an entry again and again for a route that some recent version has.
func (c *settingsCheck) probeEntry(ctx context.Context, p *process, r *rand.Rand) {
	for ticker := time.NewTicker(probeInterval); ctx.Err() == nil; <-ticker.C {
		c.mu.Lock()
		recent := c.versions[max(0, len(c.versions)-1-r.IntN(4))].extraRoutes
		c.mu.Unlock()
		if len(recent) == 0 {
			continue
		}
		c.probe(ctx, p, pick(r, recent))
	}
}

// probe sends one probe. Answers that do not show whether the entry has the route are not recorded.
func (c *settingsCheck) probe(ctx context.Context, p *process, route string) {
	url := "http://" + net.JoinHostPort(p.ip, callersPort) + "/" + route + "/"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		panic(err) // the URL is valid
	}
	request.Host = host
	sent := probe{entry: p, route: route, sentAt: time.Now()}
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	sent.answered, sent.served = time.Now(), response.StatusCode == http.StatusOK
	if !sent.served && response.StatusCode != http.StatusNotFound {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes = append(c.probes, sent)
}

// inTouch reports whether no fault disturbed the entry from contactTime before the probe until
// its answer. An entry that the store refuses counts as in touch for what it does not serve.
func (c *settingsCheck) inTouch(pr probe) bool {
	from := pr.sentAt.Add(-contactTime)
	return !slices.ContainsFunc(c.disturbances[pr.entry], func(d disturbance) bool {
		return d.to.After(from) && d.from.Before(pr.answered) && (pr.served || d.how != refused)
	})
}

// latest returns the index of the latest version that can have decided the probe, at least
// oldest; -1 if there is none.
func (c *settingsCheck) latest(pr probe, oldest int) int {
	for i := len(c.versions) - 1; i >= oldest; i-- {
		if c.versions[i].sentAt.Before(pr.answered) && slices.Contains(c.versions[i].extraRoutes, pr.route) == pr.served {
			return i
		}
	}
	return -1
}

// earliest returns the index of the earliest version that can have decided the probe, at least
// oldest.
func (c *settingsCheck) earliest(pr probe, oldest int) int {
	for i := oldest; i < len(c.versions); i++ {
		if slices.Contains(c.versions[i].extraRoutes, pr.route) == pr.served {
			return i
		}
	}
	return len(c.versions)
}

// check records a failure for each entry in touch that decided by a version older than one
// confirmed configDeadline before, and for each process that went back to an older version. No
// name of a route is used twice, so an answer tells between which versions it was decided.
func (c *settingsCheck) check() (probes, judged int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pr := range c.probes {
		if !c.inTouch(pr) {
			continue
		}
		judged++
		required := 0
		for i, v := range c.versions {
			if v.confirmedAt.Before(pr.sentAt.Add(-configDeadline)) {
				required = i
			}
		}
		if c.latest(pr, required) < 0 {
			c.cluster.history.failf("%s answered for %s (served %t) as before version %d, which was confirmed %s earlier",
				pr.entry.name, pr.route, pr.served, required+1, pr.sentAt.Sub(c.versions[required].confirmedAt))
		}
	}
	for _, p := range c.cluster.entries {
		c.checkOrder(p)
	}
	return len(c.probes), judged
}

// shownVersion is the earliest version that can have decided a probe answered at the given time.
type shownVersion struct {
	at      time.Time
	version int
}

// checkOrder records a failure if a process of the entry decided by an older version than one
// that it had shown downgradeSlack before.
func (c *settingsCheck) checkOrder(p *process) {
	var shown []shownVersion
	var restarts []disturbance
	for _, d := range c.disturbances[p] {
		if d.how == replaced {
			restarts = append(restarts, d)
		}
	}
	for _, pr := range c.probes {
		if pr.entry != p {
			continue
		}
		oldest := 0
		for _, s := range shown {
			restarted := slices.ContainsFunc(restarts, func(d disturbance) bool { return d.to.After(s.at) && d.from.Before(pr.answered) })
			if !restarted && pr.sentAt.After(s.at.Add(downgradeSlack)) {
				oldest = max(oldest, s.version)
			}
		}
		if c.latest(pr, oldest) < 0 {
			c.cluster.history.failf("%s went back to a version before %d, which it had shown (%s, served %t)", p.name, oldest+1, pr.route, pr.served)
		}
		if version := c.earliest(pr, oldest); len(shown) == 0 || version > shown[len(shown)-1].version {
			shown = append(shown, shownVersion{pr.answered, version})
		}
	}
}
