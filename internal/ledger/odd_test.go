package ledger_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

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
