package standin_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
)

// Guards against stand-ins that store without a bound, and against large values that leave no room for
// small ones.
func TestCapacity(t *testing.T) {
	table, objects := standin.NewTable(), standin.NewObjects()
	capacity := standin.NewCapacity(1 << 20)
	table.SetCapacity(capacity)
	objects.SetCapacity(capacity)
	large := make([]byte, 100<<10)
	commit := func(key string, value []byte) error {
		_, err := table.Commit(t.Context(), platform.Tx{Writes: []platform.Write{{Key: key, Value: value}}})
		return err
	}
	for i := range 4 {
		must.NoError(t, commit(fmt.Sprint("row-", i), large))
	}
	for i := range 3 {
		must.NoError(t, objects.Put(t.Context(), fmt.Sprint("object-", i), large))
	}
	must.ErrorIs(t, commit("row-4", large), platform.ErrUnavailable)
	_, err := table.Get(t.Context(), "row-4")
	must.ErrorIs(t, err, platform.ErrNotFound)
	must.ErrorIs(t, objects.Put(t.Context(), "object-3", large), platform.ErrUnavailable)
	must.NoError(t, commit("row-0", large)) // replaces as much
	must.NoError(t, commit("small", make([]byte, 20<<10)))

	must.NoError(t, objects.Delete(t.Context(), "object-0"))
	must.NoError(t, commit("row-4", large))
	_, err = table.Commit(t.Context(), platform.Tx{Writes: []platform.Write{{Key: "row-4", Delete: true}}})
	must.NoError(t, err)
	must.NoError(t, objects.Put(t.Context(), "object-3", large))
}
