package intake

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/site"
)

type fakeSite struct {
	state *site.State
	age   time.Duration
}

func (f *fakeSite) State() *site.State         { return f.state }
func (f *fakeSite) Age() (time.Duration, bool) { return f.age, true }

// Guards against final refusals by old settings, and against refusals that cannot be traced: one
// without a route names the version of the configuration that decided it, and its age.
func TestServer_RouteRefusals(t *testing.T) {
	lines := memory.New()
	config := &site.Config{Version: 7, Routes: []site.Route{{Host: "a.example", Prefix: "/x/", Queue: job.Queue{Name: "r-1"}}}}
	settings := &fakeSite{state: &site.State{}, age: 1500 * time.Millisecond}
	s := &Server{Site: settings, MaxSettingsAge: 2 * time.Second, Logger: &log.Logger{Handler: lines, Level: log.InfoLevel}}

	_, _, err := s.Route("a.example", "/x/1")
	var refused *RefusedError
	must.True(t, errors.As(err, &refused))
	test.Eq(t, NoConfiguration, refused.Reason)

	settings.state = &site.State{Config: config}
	route, _, err := s.Route("a.example", "/x/1")
	must.NoError(t, err)
	test.Eq(t, "r-1", route.Queue.Name)
	must.Len(t, 0, lines.Entries)

	_, _, err = s.Route("a.example", "/y/1")
	test.ErrorIs(t, err, ErrNoRoute)
	must.Len(t, 1, lines.Entries)
	test.Eq(t, log.Fields{
		"host": "a.example", "path": "/y/1", "version": int64(7), "age_ms": int64(1500), "stale": false,
	}, lines.Entries[0].Fields)

	settings.age = 2*time.Second + 1
	_, _, err = s.Route("a.example", "/y/1")
	must.True(t, errors.As(err, &refused))
	test.Eq(t, StaleSettings, refused.Reason)
	_, _, err = s.Route("a.example", "/x/1")
	test.NoError(t, err, test.Sprint("queues that are known are served with old settings, too"))
}

// renewingSite gets new settings right after its state was read.
type renewingSite struct{ fakeSite }

func (r *renewingSite) State() *site.State {
	defer func() { r.age = 0 }()
	return r.state
}

// Guards against a final refusal by old settings that takes its age from newer ones, which arrive
// while the request is decided.
func TestServer_RouteRefusalWhileSettingsArrive(t *testing.T) {
	settings := &renewingSite{fakeSite{state: &site.State{Config: &site.Config{Version: 7}}, age: time.Minute}}
	s := &Server{Site: settings, MaxSettingsAge: 2 * time.Second, Logger: &log.Logger{Handler: memory.New()}}
	_, _, err := s.Route("a.example", "/y/1")
	var refused *RefusedError
	must.True(t, errors.As(err, &refused))
	test.Eq(t, StaleSettings, refused.Reason)
}
