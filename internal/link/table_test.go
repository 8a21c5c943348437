package link_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/platform"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// fakeTable answers every call with err or with values that repeat the arguments.
type fakeTable struct {
	err     error
	commits int
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	return platform.Row{Key: key, Value: []byte("v"), Version: 3}, f.err
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) (platform.Page, error) {
	return platform.Page{Next: fmt.Sprintf("%s/%s/%d", prefix, after, limit)}, f.err
}

func (f *fakeTable) Commit(_ context.Context, tx platform.Tx) (int64, error) {
	f.commits++
	return tx.Checks[0].Version + 1, f.err
}

// An entry relays results and errors of the table unchanged.
func TestTable_Relayed(t *testing.T) {
	for _, want := range []error{
		nil, platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrInvalid, errors.New("timeout"),
	} {
		t.Run(fmt.Sprint(want), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.table = &fakeTable{err: want}
				c.startEntry("e1")
				a := c.startAgent("vm1", 1, newFakeRunner(0))
				advance(time.Second)
				table, ctx := a.Table(), context.Background()
				row, getErr := table.Get(ctx, "k")
				page, listErr := table.List(ctx, "p", "a", 7)
				version, commitErr := table.Commit(ctx, platform.Tx{Checks: []platform.Check{{Key: "k", Version: 3}}})
				if want == nil {
					must.NoError(t, errors.Join(getErr, listErr, commitErr))
					must.Eq(t, platform.Row{Key: "k", Value: []byte("v"), Version: 3}, row)
					must.Eq(t, "p/a/7", page.Next)
					must.Eq(t, 4, version)
					return
				}
				for _, err := range []error{getErr, listErr, commitErr} {
					must.Eq(t, platform.IsUnknown(want), platform.IsUnknown(err))
					must.True(t, platform.IsUnknown(want) || errors.Is(err, want), must.Sprint(err))
				}
			})
		})
	}
}

// A commit fails as not written only if it was never sent. If the answer is lost, the
// outcome is unknown.
func TestTable_LostAnswers(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(c *cluster, a *testAgent)
		unknown bool
		commits int
	}{
		{"no entry", func(c *cluster, _ *testAgent) { c.killEntry("e1") }, false, 0},
		{"session silent", func(_ *cluster, a *testAgent) { a.faults("e1").Silence() }, true, 0},
		{"cut after the call", func(_ *cluster, a *testAgent) {
			a.faults("e1").SetHook(func(_ wire.Side, m proto.Message) wire.MessageFault {
				_, result := m.(*wirepb.TableResult)
				return wire.MessageFault{CutAfter: result}
			})
		}, true, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				table := &fakeTable{}
				c.table = table
				c.startEntry("e1")
				a := c.startAgent("vm1", 1, newFakeRunner(0))
				advance(time.Second)
				test.fault(c, a)
				advance(10 * linkDelay)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := a.Table().Commit(ctx, platform.Tx{Checks: []platform.Check{{Key: "k", Version: 3}}})
				must.Error(t, err)
				must.Eq(t, test.unknown, platform.IsUnknown(err))
				must.Eq(t, test.commits, table.commits)
			})
		})
	}
}
