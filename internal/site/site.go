// Package site holds the operator settings of a deployment: its queues, its services and the
// drained zones.
package site

import (
	"strings"
	"time"

	"bamboowood/internal/job"
)

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route maps the requests of callers to a queue.
type Route struct {
	Host string
	// Prefix is the prefix of the paths that belong to the queue.
	Prefix string
	Queue  job.Queue
}

// Service is a set of runners.
type Service struct {
	Name string
	// EnforcesCapacity reports whether the service's runners reject tasks that exceed their
	// free capacity.
	EnforcesCapacity bool
	// Spare reports whether all machines of the service are switched off.
	Spare bool
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route returns the route of host with the longest prefix of path, and whether there is one.
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

// State holds all operator settings at one version of the store.
type State struct {
	// Config is nil until a configuration has been read.
	Config *Config
	// Drained holds the zones in which no task may start.
	Drained map[string]bool
}

// Serves reports whether any queue sends work to the service.
func (c *Config) Serves(service string) bool {
	for i := range c.Routes {
		if c.Routes[i].Queue.Service == service {
			return true
		}
	}
	return false
}
