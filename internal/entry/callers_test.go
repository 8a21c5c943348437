package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/entry"
	"bamboowood/internal/ingress"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// fakeDispatcher answers with the request's body, or fails with err.
type fakeDispatcher struct {
	err         error
	lastRequest structs.Request
}

func (f *fakeDispatcher) Do(_ context.Context, req structs.Request) (structs.Answer, error) {
	f.lastRequest = req
	if f.err != nil {
		return structs.Answer{}, f.err
	}
	return structs.Answer{RequestID: req.ID, Status: 200, ContentType: "text/plain", Body: req.Body}, nil
}

// fakeJobs stores tasks in memory, or fails with err.
type fakeJobs struct {
	err   error
	tasks map[string]structs.Task
}

func (f *fakeJobs) SubmitTask(_ context.Context, id string, spec structs.TaskSpec) (structs.Task, error) {
	if f.err != nil {
		return structs.Task{}, f.err
	}
	if t, ok := f.tasks[id]; ok {
		return t, nil
	}
	f.tasks[id] = structs.Task{ID: id, Spec: spec, State: structs.StatePending}
	return f.tasks[id], nil
}

func (f *fakeJobs) GetTask(_ context.Context, id string) (structs.Task, error) {
	t, ok := f.tasks[id]
	if !ok {
		return t, fmt.Errorf("job %s: %w", id, platform.ErrNotFound)
	}
	return t, nil
}

func (f *fakeJobs) CancelTask(ctx context.Context, id, _ string) (structs.Task, error) {
	return f.GetTask(ctx, id)
}

func newCallers(d *fakeDispatcher, j *fakeJobs, change func(*entry.Limits)) http.Handler {
	holder := control.NewHolder()
	holder.Merge(&structs.Config{
		Version:  1,
		Services: map[string]structs.Service{"glint-check": {Name: "glint-check", WaitMS: 300, Idempotent: true}},
		Kinds: map[string]structs.Kind{"recalibration": {
			Name: "recalibration", Kind: structs.KindBatch, Team: "workshops", Declared: structs.Resources{MilliCPU: 4000},
		}},
	})
	limits := entry.Limits{
		MaxBodyBytes: 1024, Bodies: ingress.NewGate(16<<10, 0, nil), RequestsPerSecond: 1000, Burst: 1000,
	}
	if change != nil {
		change(&limits)
	}
	return entry.NewCallers(holder, d, j, limits)
}

const servicePath = "/v1/services/glint-check/requests"

// truncatedBody is the reader of a body that ends before its declared length.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Every refusal has the status, outcome and reason of the table. Only transient
// refusals of requests that did not run have a Retry-After header.
func TestCallers_Refusals(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		path    string
		header  map[string]string
		body    io.Reader
		fail    error
		limits  func(*entry.Limits)
		status  int
		outcome string
		reason  verdict.Reason
		retry   bool
	}{
		{name: "unknown service", path: "/v1/services/x/requests", status: 404, outcome: "not-run", reason: verdict.UnknownService},
		{name: "unknown path", path: "/v2", status: 404, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "operators' path", path: "/v1/statements", status: 404, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "metrics", method: "GET", path: "/metrics", status: 404, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "wrong method", method: "GET", path: servicePath, status: 405, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "wait is not a duration", path: servicePath, header: map[string]string{entry.HeaderWait: "soon"}, status: 400, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "wait is negative", path: servicePath, header: map[string]string{entry.HeaderWait: "-1s"}, status: 400, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "idempotent is not a bool", path: servicePath, header: map[string]string{entry.HeaderIdempotent: "maybe"}, status: 400, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "key too long", path: servicePath, header: map[string]string{entry.HeaderKey: strings.Repeat("k", 256)}, status: 400, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "body over the limit", path: servicePath, body: bytes.NewReader(make([]byte, 1025)), status: 413, outcome: "not-run", reason: verdict.BodyTooLarge},
		{name: "body over the limit, length not declared", path: servicePath, body: io.MultiReader(bytes.NewReader(make([]byte, 1025))), status: 413, outcome: "not-run", reason: verdict.BodyTooLarge},
		{name: "body truncated", path: servicePath, body: truncatedBody{}, status: 408, outcome: "not-run", reason: verdict.BodyIncomplete},
		{name: "body memory exhausted", path: servicePath, body: truncatedBody{}, limits: func(l *entry.Limits) { l.Bodies = ingress.NewGate(1, 0, nil) }, status: 503, outcome: "not-run", reason: verdict.BodyMemoryExhausted, retry: true},
		{name: "no memory for what is made of a body", path: servicePath, body: bytes.NewReader(make([]byte, 1000)), limits: func(l *entry.Limits) { l.Bodies = ingress.NewGate(3000, 0, nil) }, status: 503, outcome: "not-run", reason: verdict.BodyMemoryExhausted, retry: true},
		{name: "rate limit exceeded", path: servicePath, limits: func(l *entry.Limits) { l.Burst = 0 }, status: 429, outcome: "not-run", reason: verdict.RateLimited, retry: true},
		{name: "no upstream", path: servicePath, fail: verdict.New(verdict.NotRun, verdict.NoUpstream, nil), status: 503, outcome: "not-run", reason: verdict.NoUpstream, retry: true},
		{name: "session lost after the commit", path: servicePath, fail: verdict.New(verdict.MayHaveRun, verdict.SessionLost, nil), status: 502, outcome: "may-have-run", reason: verdict.SessionLost},
		{name: "refusal after an unconfirmed try", path: servicePath, fail: verdict.New(verdict.NotRun, verdict.WaitExpired, verdict.New(verdict.MayHaveRun, verdict.SessionLost, nil)), status: 504, outcome: "may-have-run", reason: verdict.WaitExpired},
		{name: "untyped error", path: servicePath, fail: errors.New("bug"), status: 500, outcome: "may-have-run", reason: verdict.Internal},
		{name: "job with an unknown field", path: "/v1/jobs", body: strings.NewReader(`{"nam":"x"}`), status: 400, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "job that is not JSON", path: "/v1/jobs", body: strings.NewReader(`{`), status: 400, outcome: "not-run", reason: verdict.InvalidRequest},
		{name: "unknown job", method: "GET", path: "/v1/jobs/none", status: 404, outcome: "not-run", reason: verdict.UnknownJob},
		{name: "job with unknown outcome", path: "/v1/jobs", body: strings.NewReader(`{}`), fail: state.ErrOutcomeUnknown, status: 503, outcome: "may-have-run", reason: verdict.TableUnavailable},
		{name: "table unavailable for a job", path: "/v1/jobs", body: strings.NewReader(`{}`), fail: platform.ErrUnavailable, status: 503, outcome: "not-run", reason: verdict.TableUnavailable, retry: true},
		{name: "job refused", path: "/v1/jobs", body: strings.NewReader(`{}`), fail: errors.New("fits no VM"), status: 422, outcome: "not-run", reason: verdict.JobRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newCallers(&fakeDispatcher{err: c.fail}, &fakeJobs{err: c.fail, tasks: map[string]structs.Task{}}, c.limits)
			method := c.method
			if method == "" {
				method = http.MethodPost
			}
			r := httptest.NewRequest(method, c.path, c.body)
			for k, v := range c.header {
				r.Header.Set(k, v)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)

			var p entry.Problem
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			must.Eq(t, c.status, w.Code)
			must.Eq(t, "application/problem+json", w.Header().Get("Content-Type"))
			must.Eq(t, c.outcome, p.Outcome)
			must.Eq(t, c.outcome, w.Header().Get(entry.HeaderOutcome))
			must.Eq(t, string(c.reason), p.Reason)
			must.Eq(t, c.retry, w.Header().Get("Retry-After") != "")
		})
	}
}

func TestCallers_Answer(t *testing.T) {
	d := &fakeDispatcher{}
	r := httptest.NewRequest(http.MethodPost, servicePath, strings.NewReader("eye"))
	r.Header.Set(entry.HeaderWait, "100ms")
	r.Header.Set(entry.HeaderIdempotent, "false")
	r.Header.Set(entry.HeaderKey, "k1")
	w := httptest.NewRecorder()
	before := time.Now()
	newCallers(d, &fakeJobs{}, nil).ServeHTTP(w, r)

	must.Eq(t, 200, w.Code)
	must.Eq(t, "eye", w.Body.String())
	must.Eq(t, "ran", w.Header().Get(entry.HeaderOutcome))
	must.Eq(t, d.lastRequest.ID, w.Header().Get(entry.HeaderRequestID))
	must.False(t, d.lastRequest.Idempotent)
	must.Eq(t, "k1", d.lastRequest.Key)
	must.Between(t, before.Add(100*time.Millisecond).UnixNano(), d.lastRequest.Deadline.UnixNano(), time.Now().Add(100*time.Millisecond).UnixNano())
}

// An entry that has not read the configuration yet responds with 503, not with an
// unknown service.
func TestCallers_WithoutConfiguration(t *testing.T) {
	h := entry.NewCallers(control.NewHolder(), &fakeDispatcher{}, &fakeJobs{}, entry.Limits{
		MaxBodyBytes: 1, Bodies: ingress.NewGate(1, 0, nil), RequestsPerSecond: 1, Burst: 1,
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, servicePath, nil))
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "1", w.Header().Get("Retry-After"))
	must.StrContains(t, w.Body.String(), string(verdict.NoConfiguration))
}

// The header may shorten the agreed wait but not lengthen it.
func TestCallers_WaitNeverExceedsTheAgreedOne(t *testing.T) {
	d := &fakeDispatcher{}
	r := httptest.NewRequest(http.MethodPost, servicePath, nil)
	r.Header.Set(entry.HeaderWait, "1h")
	newCallers(d, &fakeJobs{}, nil).ServeHTTP(httptest.NewRecorder(), r)
	must.Less(t, time.Now().Add(301*time.Millisecond).UnixNano(), d.lastRequest.Deadline.UnixNano())
}

// A repeated request with the same key returns the first job. Missing fields get
// the defaults of the kind.
func TestCallers_JobRepeatedWithItsKey(t *testing.T) {
	jobs := &fakeJobs{tasks: map[string]structs.Task{}}
	h := newCallers(&fakeDispatcher{}, jobs, nil)
	var ids []string
	for range 2 {
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(`{"name":"recalibration"}`))
		r.Header.Set(entry.HeaderKey, "batch-7")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		must.Eq(t, 201, w.Code)
		var task structs.Task
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &task))
		must.Eq(t, "workshops", task.Spec.Team)
		must.Eq(t, 4000, task.Spec.Declared.MilliCPU)
		ids = append(ids, task.ID)
	}
	must.Eq(t, ids[0], ids[1])
	must.MapLen(t, 1, jobs.tasks)
}
