package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// nesting is how deep the arrays of an odd value are nested.
const nesting = 10_000

var nested = strings.Repeat("[", nesting) + strings.Repeat("]", nesting)

// raw is the text of a value that encoding/json would not write.
type raw string

// oddReport returns a fault in which another writer sends a report to an agent, under the id of its
// runner or of none. Each report has one defect, so it names no runner to use.
func (cl *cluster) oddReport(r *rand.Rand, v *vm) (description string, run func()) {
	defect, own := r.IntN(len(defects)), r.IntN(2) == 0
	id := fmt.Sprintf("i-odd-%d", r.IntN(1000))
	return fmt.Sprintf("report to the agent of %s, own runner %t: %s", v.ip, own, defects[defect].name), func() {
		if own {
			id = v.current().ID
		}
		report := map[string]any{
			"service": service, "address": "127.0.0.1:9", "zone": "z1", "state": "ready", "labels": []string{"a", "r1"},
			"capacity": map[string]int64{"cpu": runnerCPU, "memMb": runnerMemory}, "born": time.Now().UnixMilli(), "sequence": 1 << 40,
		}
		url := "http://" + cl.controls[v.number] + "/instances/" + id
		request, err := http.NewRequestWithContext(cl.t.Context(), http.MethodPut, url, bytes.NewReader(defects[defect].apply(report)))
		if err != nil {
			panic(err) // the URL is valid
		}
		client := http.Client{Timeout: reportTimeout}
		if response, err := client.Do(request); err == nil { // the agent may be down
			_ = response.Body.Close()
		}
	}
}

// defects are what may be wrong with a report from another writer.
var defects = []struct {
	name  string
	apply func(report map[string]any) []byte
}{
	{"deeply nested", with("labels", raw(nested))},
	{"deeply nested in an unknown field", with("x", raw(nested))},
	{"sequence beyond int64", with("sequence", raw("18446744073709551616"))},
	{"born beyond int64", with("born", raw("1e300"))},
	{"port out of range", with("address", "127.0.0.1:70000")},
	{"no address", with("address", nil)},
	{"no service", with("service", nil)},
	{"no state", with("state", nil)},
	{"no born", with("born", nil)},
	{"no sequence", with("sequence", nil)},
	{"unknown state", with("state", "odd")},
	{"unknown service", with("service", "odd")},
	{"labels of another type", with("labels", 5)},
	{"address of another type", with("address", []int{1})},
	{"unreadable", func(map[string]any) []byte { return []byte("\xff\xfe\x00{") }},
	{"truncated", func(report map[string]any) []byte { data := encode(report); return data[:len(data)/2] }},
	{"empty", func(map[string]any) []byte { return nil }},
}

// with returns a function that encodes a report with another value of a field; nil removes it.
func with(field string, value any) func(map[string]any) []byte {
	return func(report map[string]any) []byte {
		report[field] = value
		if value == nil {
			delete(report, field)
		}
		data := encode(report)
		if text, ok := value.(raw); ok {
			data = bytes.Replace(data, encode(text), []byte(text), 1)
		}
		return data
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return data
}

// oddRow returns a fault in which another writer adds a row to one of the tables that the system
// lists.
func (cl *cluster) oddRow(r *rand.Rand) (description string, run func()) {
	id := fmt.Sprintf("%016x", r.Uint64())
	at := pick(r, []struct{ table, part, key string }{
		{"agents", "main", "agent-" + id},
		{"agents", "other", "agent-" + id},
		{"jobs", id[:1], id},
		{"jobs", id[:1], "\xff"},
		{"jobs", "", ""},
		{"cancels", id[:1], id},
		{"progress", "main", id},
		{"term", "main", "aa"},
	})
	value := pick(r, []string{
		"", "\xff\xfe", "127.0.0.1:70000", "{}", `{"steps":[{"count":18446744073709551616}]}`,
		nested,
	})
	return fmt.Sprintf("row %q of %q with %.20q", at.key, at.table, value), func() { cl.store.Write(at.table, at.part, at.key, []byte(value)) }
}
