// Package site holds what the operators decide about a deployment: its queues,
// its services and the zones that are to be kept empty.
package site

import (
	"strings"
	"time"

	"bamboowood/internal/job"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route leads callers to a queue.
type Route struct {
	Host string
	// Prefix is the beginning of the paths that belong to the queue.
	Prefix string
	Queue  job.Queue
}

// Service is a set of runners.
type Service struct {
	Name string
	// EnforcesCapacity says that the service's runners refuse what does not fit.
	EnforcesCapacity bool
	// Spare services have no machines that are switched on.
	Spare bool
}

// Limits bound what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route returns the route with the longest prefix of path among those of host.
func (c *Config) Route(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// State is the operators' whole will at one version of the store.
type State struct {
	// Config is nil until a first one is known.
	Config *Config
	// Drained has the zones in which nothing may start.
	Drained map[string]bool
}

// Serves says whether any queue sends work to the service.
func (c *Config) Serves(service string) bool {
	for i := range c.Routes {
		if c.Routes[i].Queue.Service == service {
			return true
		}
	}
	return false
}
