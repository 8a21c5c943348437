package operators_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/client"
	"bamboowood/internal/command"
	"bamboowood/internal/control"
	"bamboowood/internal/ingress"
	"bamboowood/internal/operators"
	"bamboowood/internal/platform"
	"bamboowood/internal/query"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

type emptyView struct{}

func (emptyView) Upstreams() []structs.UpstreamStatus { return nil }
func (emptyView) Entries() []structs.EntryStatus      { return nil }

type fixture struct {
	table   *standin.Table
	handler http.Handler
	bodies  *ingress.Gate
	changes int
	ready   error
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{table: standin.NewTable(), bodies: ingress.NewGate(8<<20, 0, nil)}
	f.handler = f.handlerOn(f.table)
	must.NoError(t, command.New(f.table, time.Now).Bootstrap(t.Context(), structs.Config{
		Services: map[string]structs.Service{"glint-check": {Name: "glint-check", WaitMS: 200}},
		Zones:    map[string]structs.Zone{"norte": {Name: "norte", State: structs.ZoneActive}},
	}))
	return f
}

// handlerOn returns a handler that uses table.
func (f *fixture) handlerOn(table platform.Table) http.Handler {
	return operators.Handler(operators.Options{
		Commander: command.New(table, time.Now), Queries: query.New(table, emptyView{}, control.NewHolder()),
		Tokens: []operators.Token{
			{Name: "ana", Secret: "s-operate", Role: operators.RoleOperate},
			{Name: "rita", Secret: "s-read", Role: operators.RoleRead},
			{Name: "empty", Secret: "", Role: operators.RoleOperate},
		},
		Bodies:   f.bodies,
		OnChange: func() { f.changes++ },
		Ready:    func() error { return f.ready },
	})
}

func (f *fixture) dumpTable(t *testing.T) string {
	page, err := f.table.List(t.Context(), "", "", platform.MaxPageRows)
	must.NoError(t, err)
	data, err := json.Marshal(page)
	must.NoError(t, err)
	return string(data)
}

// truncatedBody is the reader of a body that ends before its declared length.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against statements that are read or parsed without an account of their memory, and against
// refusals that do not say when to retry.
func TestStatements_Memory(t *testing.T) {
	const text = `{"statement": "set service glint-check wait = 1s"}`
	for _, c := range []struct {
		name   string
		memory int64
		body   io.Reader
		status int
		reason statement.Reason
	}{
		{"no memory for the body", 100, strings.NewReader(text), 503, statement.NoMemory},
		{"no memory for parsing", 2000, strings.NewReader(text), 503, statement.NoMemory},
		{"truncated", 1 << 20, truncatedBody{}, 408, statement.BodyIncomplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.bodies = ingress.NewGate(c.memory, 0, nil)
			before := f.dumpTable(t)
			r := httptest.NewRequest(http.MethodPost, "/v1/statements", c.body)
			r.Header.Set("Authorization", "Bearer s-operate")
			w := httptest.NewRecorder()
			f.handlerOn(f.table).ServeHTTP(w, r)
			must.Eq(t, c.status, w.Code)
			must.Eq(t, c.status == 503, w.Header().Get("Retry-After") != "")
			var p statement.Problem
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			must.Eq(t, c.reason, p.Reason)
			must.Eq(t, "not-run", p.Outcome)
			must.Eq(t, before, f.dumpTable(t))
		})
	}
}

func send(h http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against rejected requests that change the table or do not return a problem
// with the outcome "not-run". Without DisallowUnknownFields, "misspelt dry_run"
// executes the command; without the comparison of roles, "role read" does.
func TestStatements_Refusals(t *testing.T) {
	const drain = `{"statement": "set service glint-check wait = 1s"}`
	const operate = "Bearer s-operate"
	cases := []struct {
		name, method, path, token, body string
		status                          int
		reason                          statement.Reason
	}{
		{"no token", "POST", "/v1/statements", "", drain, 401, statement.Unauthorized},
		{"unknown token", "POST", "/v1/statements", "Bearer s-other", drain, 401, statement.Unauthorized},
		{"empty token", "POST", "/v1/statements", "Bearer ", drain, 401, statement.Unauthorized},
		{"other scheme", "POST", "/v1/statements", "Basic s-operate", drain, 401, statement.Unauthorized},
		{"role read", "POST", "/v1/statements", "Bearer s-read", drain, 403, statement.Forbidden},
		{"unknown route", "POST", "/v1/statement", operate, drain, 404, statement.NoRoute},
		{"callers' route", "POST", "/v1/jobs", operate, "{}", 404, statement.NoRoute},
		{"wrong method", "GET", "/v1/statements", operate, "", 405, statement.NoMethod},
		{"no body", "POST", "/v1/statements", operate, "", 400, statement.BadRequest},
		{"not JSON", "POST", "/v1/statements", operate, "drain zone norte", 400, statement.BadRequest},
		{"truncated object", "POST", "/v1/statements", operate, drain[:20], 400, statement.BadRequest},
		{"two objects", "POST", "/v1/statements", operate, drain + drain, 400, statement.BadRequest},
		{"wrong type", "POST", "/v1/statements", operate, `{"statement": 1}`, 400, statement.BadRequest},
		{"misspelt dry_run", "POST", "/v1/statements", operate, `{"statement": "set service glint-check wait = 1s", "dryrun": true}`, 400, statement.BadRequest},
		{"oversized body", "POST", "/v1/statements", operate, `{"statement": "` + strings.Repeat("x", 1<<20) + `"}`, 413, statement.TooLarge},
		{"oversized statement", "POST", "/v1/statements", operate, `{"statement": "` + strings.Repeat("x", 20<<10) + `"}`, 400, statement.Syntax},
		{"no statement", "POST", "/v1/statements", operate, `{}`, 400, statement.Syntax},
		{"syntax", "POST", "/v1/statements", operate, `{"statement": "drian zone norte"}`, 400, statement.Syntax},
		{"bad id", "POST", "/v1/statements", operate, `{"statement": "drain zone norte", "id": "a/b"}`, 400, statement.InvalidValue},
		{"unknown zone", "POST", "/v1/statements", operate, `{"statement": "drain zone nort"}`, 404, statement.NotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			before := f.dumpTable(t)
			w := send(f.handler, c.method, c.path, c.token, c.body)
			must.Eq(t, c.status, w.Code)
			must.Eq(t, "application/problem+json", w.Header().Get("Content-Type"))
			var p statement.Problem
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			must.Eq(t, c.reason, p.Reason)
			must.Eq(t, c.status, p.Status)
			must.Eq(t, "not-run", p.Outcome)
			must.NotEq(t, "", p.Detail)
			must.Eq(t, before, f.dumpTable(t))
			must.Eq(t, 0, f.changes)
		})
	}
}

func TestStatements_Accepted(t *testing.T) {
	f := newFixture(t)
	w := send(f.handler, "POST", "/v1/statements", "Bearer s-operate", `{"statement": "set service glint-check wait = 1s", "id": "c-1"}`)
	must.Eq(t, 200, w.Code)
	must.Eq(t, `{"rows":[{"object":"service glint-check","effect":"service glint-check: wait = 1s, idempotent = false"}],`+
		`"message":"service glint-check: wait = 1s, idempotent = false (before: wait = 200ms, idempotent = false)","change_id":"c-1","version":2,`+
		`"progress":{"object":"version 2","tasks":0,"requests":0,"behind":0,"done":true},`+
		`"columns":[{"field":"object","title":"object"},{"field":"effect","title":"effect"}]}`, reorder(t, w.Body.Bytes()))
	must.Eq(t, 1, f.changes)
	change, err := state.Get[structs.Change](t.Context(), f.table, state.ChangeKey(2))
	must.NoError(t, err)
	must.Eq(t, "ana", change.Value.Author)

	for _, body := range []string{`{"statement": "dry run drain zone norte"}`, `{"statement": "drain zone norte", "dry_run": true}`, `{"statement": "show zones"}`} {
		w = send(f.handler, "POST", "/v1/statements", "Bearer s-read", body)
		must.Eq(t, 200, w.Code, must.Sprint(w.Body.String()))
	}
	must.Eq(t, 1, f.changes)
}

// reorder moves the columns after the other members, for a readable comparison.
func reorder(t *testing.T, data []byte) string {
	text := strings.TrimSpace(string(data))
	columns, rest, found := strings.Cut(strings.TrimPrefix(text, `{"columns":`), `,"rows":`)
	must.True(t, found)
	return `{"rows":` + strings.TrimSuffix(rest, "}") + `,"columns":` + columns + "}"
}

// Guards against wrong outcomes during failures of the table. A command that failed
// before its commit returns "not-run"; one whose commit failed without a definite
// result, or panicked, returns "may-have-run".
func TestStatements_TableFailures(t *testing.T) {
	f := newFixture(t)
	before := f.dumpTable(t)
	f.table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	var p statement.Problem
	w := send(f.handler, "POST", "/v1/statements", "Bearer s-operate", `{"statement": "drain zone norte force", "id": "c-1"}`)
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	must.Eq(t, 503, w.Code)
	must.Eq(t, "not-run", p.Outcome)
	must.Eq(t, 503, send(f.handler, "POST", "/v1/statements", "Bearer s-read", `{"statement": "show zones"}`).Code)
	must.Eq(t, 200, send(f.handler, "POST", "/v1/statements", "Bearer s-read", `{"statement": "show alarms"}`).Code)
	f.table.Faults().Clear()
	must.Eq(t, before, f.dumpTable(t))

	w = send(f.handlerOn(failingCommits{f.table}), "POST", "/v1/statements", "Bearer s-operate", `{"statement": "drain zone norte force", "id": "c-1"}`)
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	must.Eq(t, 504, w.Code)
	must.Eq(t, "may-have-run", p.Outcome)
	must.Eq(t, statement.OutcomeUnknown, p.Reason)
	must.Eq(t, 0, f.changes)

	w = send(f.handlerOn(panickingCommits{f.table}), "POST", "/v1/statements", "Bearer s-operate", `{"statement": "drain zone norte force", "id": "c-2"}`)
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
	must.Eq(t, 500, w.Code)
	must.Eq(t, "may-have-run", p.Outcome)
}

type failingCommits struct{ platform.Table }

func (failingCommits) Commit(context.Context, platform.Tx) (int64, error) {
	return 0, errors.New("connection cut")
}

type panickingCommits struct{ platform.Table }

func (panickingCommits) Commit(context.Context, platform.Tx) (int64, error) { panic("bug") }

// Guards against an entry that reports ready when it is not, and against missing alarm
// gauges during a table outage.
func TestHealthAndMetrics(t *testing.T) {
	f := newFixture(t)
	must.Eq(t, "ok\n", send(f.handler, "GET", "/healthz", "", "").Body.String())
	must.Eq(t, 200, send(f.handler, "GET", "/readyz", "", "").Code)
	f.ready = errors.New("no upstream has announced itself")
	must.Eq(t, 503, send(f.handler, "GET", "/readyz", "", "").Code)
	f.table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	metrics := send(f.handler, "GET", "/metrics", "", "").Body.String()
	must.StrContains(t, metrics, `bamboowood_alarm_active{alarm="table-outage"} 1`)
	must.StrContains(t, metrics, `bamboowood_alarm_active{alarm="silent-watch"} 0`)
}

// Guards against a definite outcome for a command whose connection failed. Only a
// request that was not sent, or a problem with the outcome "not-run", proves that
// the command did not take effect.
func TestClient_Outcomes(t *testing.T) {
	respondWith := func(status int, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, text)
		}
	}
	disconnect := func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"message":`)
	}
	cases := []struct {
		name, text string
		handler    http.HandlerFunc
		unknown    bool
	}{
		{"connection closed during a command", "drain zone norte", disconnect, true},
		{"connection closed during a query", "show zones", disconnect, false},
		{"connection closed during a dry run", "dry run drain zone norte", disconnect, false},
		{"connection closed during a statement of a newer version", "drain region west", disconnect, true},
		{"truncated response", "drain zone norte", truncated, true},
		{"response is not JSON", "drain zone norte", respondWith(200, "<html>"), true},
		{"error of a load balancer", "drain zone norte", respondWith(502, "<html>Bad Gateway"), true},
		{"problem, not run", "drain zone norte", respondWith(409, `{"outcome":"not-run","reason":"conflict"}`), false},
		{"problem, may have run", "drain zone norte", respondWith(504, `{"outcome":"may-have-run"}`), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			_, err := client.New(server.URL, "t", server.Client()).Run(t.Context(), c.text, client.Options{})
			must.Error(t, err)
			must.Eq(t, c.unknown, client.IsUnknown(err))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		must.NoError(t, listener.Close())
		c := client.New("http://"+listener.Addr().String(), "t", http.DefaultClient)
		_, err = c.Run(t.Context(), "drain zone norte", client.Options{})
		must.False(t, client.IsUnknown(err))
	})
}

// Guards against applying a command twice when its response is lost: the client
// retries with the same id and sets Repeat. A retry that cannot be sent leaves the
// outcome of the earlier request unknown.
func TestClient_Retries(t *testing.T) {
	f := newFixture(t)
	var requests []statement.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		var request statement.Request
		_ = json.Unmarshal(data, &request)
		requests = append(requests, request)
		r.Body = io.NopCloser(strings.NewReader(string(data)))
		if len(requests) == 1 {
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		f.handler.ServeHTTP(w, r)
	}))
	c := client.New(server.URL, "s-operate", server.Client())
	result, err := c.Run(t.Context(), "set service glint-check wait = 1s", client.Options{MaxRetries: 2})
	must.NoError(t, err)
	must.Eq(t, 2, result.Version)
	must.SliceLen(t, 2, requests)
	must.Eq(t, requests[0].ID, requests[1].ID)
	must.True(t, requests[1].Repeat)
	server.Close()
	_, err = c.Run(t.Context(), "drain zone norte", client.Options{MaxRetries: 1})
	must.False(t, client.IsUnknown(err))
	_, err = c.Run(t.Context(), "drain zone norte", client.Options{ID: "c-9", Repeat: true})
	must.True(t, client.IsUnknown(err))
}
