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
	config := s.Site.State().Config
	if config == nil {
		countRequest(NoConfiguration)
		return site.Route{}, site.Limits{}, &RefusedError{Reason: NoConfiguration, RetryAfter: noConfigurationRetryAfter}
	}
	route, found := config.Route(host, path)
	if !found {
		countRequest("no-route")
		if noRouteLogs.Allow() {
			age, _ := s.Site.Age()
			s.Logger.WithFields(log.Fields{
				"host": host, "path": path[:min(len(path), maxLoggedPath)], "version": config.Version, "age_ms": age.Milliseconds(),
			}).Info("request refused; no such queue")
		}
		return site.Route{}, site.Limits{}, ErrNoRoute
	}
	return route, config.Limits, nil
}
