package ledger_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/platform"
	"bamboowood/platform/platformtest"
)

// newWritableLedger returns a ledger and a client with which another writer changes its rows.
func newWritableLedger(t *testing.T) (*ledger.Ledger, store.Store) {
	server := httptest.NewServer(platformtest.NewStore())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	return ledger.New(client, store.NewBulkReader(client, 0)), client
}

func writeRow(t *testing.T, s store.Store, table, part, key, value string) {
	t.Helper()
	_, err := s.Apply(t.Context(), store.Tx{Writes: []store.Write{{
		Key: store.Key{Table: table, Part: part, Key: key}, Value: []byte(value),
	}}})
	must.NoError(t, err)
}

// Guards against a row beside the term that hides it: no entry could begin a term any more.
func TestCurrentTerm_OddRowsBeside(t *testing.T) {
	l, s := newWritableLedger(t)
	held := beginTerm(t, l, "p1")
	for _, key := range []string{"a", "leader ", "zz"} {
		writeRow(t, s, "term", "main", key, "odd")
	}
	writeRow(t, s, "term", "", "leader", "odd")
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	must.Eq(t, "p1", current.Process)
	must.NoError(t, held.Renew(t.Context()))
	must.Eq(t, 2, beginTerm(t, l, "p2").Term.Number)
}

// oddJobs are values of job rows that no entry stores.
var oddJobs = map[string]string{
	"no JSON":              `odd`,
	"no steps":             `{}`,
	"null":                 `null`,
	"null step":            `{"steps":[null]}`,
	"payload too long":     `{"payload":"` + strings.Repeat("x", job.MaxPayloadBytes+1) + `","steps":[{"tasks":1}]}`,
	"fraction of a task":   `{"steps":[{"tasks":1.5}]}`,
	"null in place of one": `"x"`,
	"number too large":     `{"steps":[{"tasks":9223372036854775808}]}`,
	"too many tasks":       `{"steps":[{"tasks":20001}]}`,
	"no tasks":             `{"steps":[{"tasks":0}]}`,
	"negative tasks":       `{"steps":[{"tasks":-1}]}`,
	"tasks of all steps":   `{"steps":[{"tasks":20000},{"tasks":1}]}`,
	"too many occurrences": `{"steps":[{"tasks":1}],"occurrences":10001,"interval":1}`,
	"too much CPU":         `{"steps":[{"tasks":1,"cpu":9223372036854775807}]}`,
	"negative memory":      `{"steps":[{"tasks":1,"mem":-1}]}`,
	"estimate too long":    `{"steps":[{"tasks":1,"est":9223372036854775807}]}`,
	"too many steps":       `{"steps":[` + strings.Repeat(`{"tasks":1},`, job.MaxSteps) + `{"tasks":1}]}`,
	"deeply nested":        strings.Repeat(`{"steps":[`, 20_000),
}

// Guards against a job row of another writer that makes each leader run out of memory, or distorts
// the sums over all jobs. The other rows are read.
func TestLoader_OddJobRows(t *testing.T) {
	l, s := newWritableLedger(t)
	good := &job.Job{ID: "a000000000000001", Steps: []job.Step{{Tasks: 1}}}
	must.NoError(t, l.Accept(t.Context(), good))
	n := 0
	for _, value := range oddJobs {
		n++
		writeRow(t, s, "jobs", "a", fmt.Sprintf("a%015x", n+1), value)
	}
	for _, id := range []string{"a", "a0000000000000020", "a00000000000000g"} {
		n++
		writeRow(t, s, "jobs", "a", id, `{"steps":[{"tasks":1}]}`)
	}
	loaded, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	followed, err := l.FollowJobs(t.Context(), 0, time.Second)
	must.NoError(t, err)
	for _, contents := range []*ledger.Contents{loaded, followed} {
		test.Len(t, n, contents.Unreadable)
		must.Len(t, 1, contents.Jobs)
		test.Eq(t, good.ID, contents.Jobs[0].ID)
	}
}

// Guards against a job that runs again because its progress cannot be read, and against an ended
// one that is deleted for that reason.
func TestLoader_OddProgressRows(t *testing.T) {
	l, s := newWritableLedger(t)
	held := beginTerm(t, l, "p1")
	const good, compacted = "a000000000000001", "a0000000000000ff"
	accept := func(id string) {
		must.NoError(t, l.Accept(t.Context(), &job.Job{ID: id, Steps: []job.Step{{Tasks: 1}}}))
	}
	accept(good)
	accept(compacted)
	must.NoError(t, commit(t.Context(), held, progressChange(good, job.Completed)))
	must.NoError(t, held.CompactJobs(t.Context(), []string{compacted}))
	odd := []string{
		`odd`, `[]`, `{}`, `null`, `{"state":"odd"}`, `{"state":7}`, `{"state":"running","before":1e300}`, `{"state":"running","before":-1}`,
		`{"state":"running","before":9223372036854775807}`, `{"state":"running","before":2}`, `{"state":"running","before":1.5}`,
		`{"state":"running","open":{"1":{}}}`, `{"state":"running","open":{"9223372036854775807":{}}}`, `{"state":"running","open":{"0":7}}`,
		`{"state":"running","open":{"0":{"failures":{"0.0":[9223372036854775807]}}}}`, `{"state":"running","open":{"0":{"failures":{"0.0":[0]}}}}`,
		`{"state":"running","open":{"0":{"done":["***"]}}}`, `{"state":"running","open":{"0":{"done":[` + strings.Repeat(`[`, 20_000) + `]}}}`,
		`{"state":"running","open":{"-1":{}}}`, `{"state":"running","open":{"0":{"failures":{"0.0":[1e300]}}}}`, strings.Repeat(`[`, 20_000),
	}
	for i, value := range odd {
		id := fmt.Sprintf("a%015x", 2+i)
		accept(id)
		writeRow(t, s, "progress", "main", id, value)
	}
	writeRow(t, s, "progress", "main", compacted, "odd")
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, len(odd)+1, contents.Unreadable)
	must.Len(t, 1, contents.Jobs)
	test.Eq(t, good, contents.Jobs[0].ID)
	test.SliceEmpty(t, contents.PartiallyDeleted)
}

// Guards against looking up and calling hosts that another writer has put in place of an agent's
// address. The agent is still returned, since it may have runs.
func TestAgents_OddAddresses(t *testing.T) {
	l, s := newWritableLedger(t)
	must.NoError(t, l.RegisterAgent(t.Context(), "good", "10.0.0.1:1"))
	must.NoError(t, l.RegisterAgent(t.Context(), "good6", "[::1]:65535"))
	odd := []string{"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", ":80", "example.invalid:80", "[fe80::1%eth0]:80", "\x00", "[[[["}
	for i, address := range odd {
		writeRow(t, s, "agents", "main", fmt.Sprint("odd", i), address)
	}
	agents, _, err := l.Agents(t.Context())
	must.NoError(t, err)
	followed, _, err := l.FollowAgents(t.Context(), 0, time.Second)
	must.NoError(t, err)
	for _, found := range []map[string]ledger.Agent{agents, followed} {
		must.MapLen(t, len(odd)+2, found)
		for name, agent := range found {
			if strings.HasPrefix(name, "good") {
				test.NotEq(t, "", agent.Address)
			} else {
				test.Eq(t, "", agent.Address, test.Sprint(name))
			}
		}
	}
}
