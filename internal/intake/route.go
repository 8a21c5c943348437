package intake

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"bamboowood/internal/site"
)

const (
	// noConfigurationRetryAfter is the RetryAfter of an entry that has just started.
	noConfigurationRetryAfter = time.Second
	// maxLoggedPath bounds a path in a log line, in bytes.
	maxLoggedPath = 100
)

// noRouteLogs bounds the log lines of requests without a route, which anyone can send.
var noRouteLogs = rate.NewLimiter(20, 40)

// Route implements Intake.
func (s *Server) Route(host, path string) (site.Route, site.Limits, error) {
	age, known := s.Site.Age()
	config := s.Site.State().Config
	if config == nil {
		countRequest(NoConfiguration)
		return site.Route{}, site.Limits{}, &RefusedError{Reason: NoConfiguration, RetryAfter: noConfigurationRetryAfter}
	}
	route, found := config.Route(host, path)
	if found {
		return route, config.Limits, nil
	}
	stale := !known || age > s.MaxSettingsAge
	if noRouteLogs.Allow() {
		s.Logger.WithFields(log.Fields{
			"host": host, "path": path[:min(len(path), maxLoggedPath)], "version": config.Version,
			"age_ms": age.Milliseconds(), "stale": stale,
		}).Info("request refused; no such queue")
	}
	if stale {
		countRequest(StaleSettings)
		return site.Route{}, site.Limits{}, &RefusedError{Reason: StaleSettings, RetryAfter: outageRetryAfter}
	}
	countRequest("no-route")
	return site.Route{}, site.Limits{}, ErrNoRoute
}
