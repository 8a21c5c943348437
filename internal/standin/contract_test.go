package standin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/structs"
)

// Each suite runs against the stand-in itself and against the HTTP client of a server on
// loopback that serves the same stand-in.

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// refusingURL returns a URL that refuses connections until the test ends. Its port is bound, so that no
// other server gets it, but nobody listens there.
func refusingURL(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(socket) })
	must.NoError(t, unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := unix.Getsockname(socket)
	must.NoError(t, err)
	return fmt.Sprintf("http://127.0.0.1:%d", address.(*unix.SockaddrInet4).Port)
}

func forEachTable(t *testing.T, f func(t *testing.T, table platform.Table, fake *standin.Table)) {
	t.Run("memory", func(t *testing.T) {
		fake := standin.NewTable()
		f(t, fake, fake)
	})
	t.Run("http", func(t *testing.T) {
		fake := standin.NewTable()
		f(t, platform.NewTableClient(serve(t, standin.TableHandler(fake)), nil), fake)
	})
}

func putTx(key, value string, version int64) platform.Tx {
	return platform.Tx{
		Checks: []platform.Check{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTable_Contract(t *testing.T) {
	forEachTable(t, func(t *testing.T, table platform.Table, _ *standin.Table) {
		ctx := t.Context()
		_, err := table.Get(ctx, "a/1")
		must.ErrorIs(t, err, platform.ErrNotFound)

		first, err := table.Commit(ctx, putTx("a/1", "one", 0))
		must.NoError(t, err)
		row, err := table.Get(ctx, "a/1")
		must.NoError(t, err)
		must.Eq(t, platform.Row{Key: "a/1", Value: []byte("one"), Version: first}, row)

		_, err = table.Commit(ctx, putTx("a/1", "two", 0))
		must.ErrorIs(t, err, platform.ErrConflict)

		// One failed check leaves all rows unchanged.
		tx := platform.Tx{
			Checks: []platform.Check{{Key: "a/1", Version: first}, {Key: "b", Version: 7}},
			Writes: []platform.Write{{Key: "a/1", Value: []byte("x")}, {Key: "c", Value: []byte("x")}},
		}
		_, err = table.Commit(ctx, tx)
		must.ErrorIs(t, err, platform.ErrConflict)
		_, err = table.Get(ctx, "c")
		must.ErrorIs(t, err, platform.ErrNotFound)

		// All rows of a transaction get its version, which is higher than all earlier ones.
		tx.Checks = tx.Checks[:1]
		second, err := table.Commit(ctx, tx)
		must.NoError(t, err)
		must.Greater(t, first, second)
		for _, key := range []string{"a/1", "c"} {
			row, err = table.Get(ctx, key)
			must.NoError(t, err)
			must.Eq(t, second, row.Version)
		}
		_, err = table.Commit(ctx, platform.Tx{Writes: []platform.Write{{Key: "c", Delete: true}}})
		must.NoError(t, err)
		_, err = table.Get(ctx, "c")
		must.ErrorIs(t, err, platform.ErrNotFound)
	})
}

func TestTable_List(t *testing.T) {
	forEachTable(t, func(t *testing.T, table platform.Table, _ *standin.Table) {
		ctx := t.Context()
		var tx platform.Tx
		for i := range 25 {
			tx.Writes = append(tx.Writes, platform.Write{Key: fmt.Sprintf("task/%02d", i), Value: []byte("v")})
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: "tasj"}, platform.Write{Key: "task0"}, platform.Write{Key: "task/"})
		_, err := table.Commit(ctx, tx)
		must.NoError(t, err)
		var keys []string
		after := ""
		for {
			page, err := table.List(ctx, "task/", after, 10)
			must.NoError(t, err)
			must.LessEq(t, 10, len(page.Rows))
			for _, row := range page.Rows {
				keys = append(keys, row.Key)
			}
			if page.Next == "" {
				break
			}
			after = page.Next
		}
		must.Len(t, 26, keys)
		must.Eq(t, "task/", keys[0])
		must.Eq(t, "task/24", keys[25])
		must.SliceNotContains(t, keys, "task0")
		for _, limit := range []int{0, -1, platform.MaxPageRows + 1} {
			_, err := table.List(ctx, "", "", limit)
			must.ErrorIs(t, err, platform.ErrInvalid)
		}
	})
}

// Guards against a page that mixes revisions: transactions write the same value to two
// rows while List runs, and every page must have both writes of a transaction or none.
func TestTable_ListIsConsistent(t *testing.T) {
	forEachTable(t, func(t *testing.T, table platform.Table, _ *standin.Table) {
		done := make(chan error, 1)
		go func() {
			for i := range 200 {
				value := fmt.Appendf(nil, "%d", i)
				tx := platform.Tx{Writes: []platform.Write{{Key: "p/a", Value: value}, {Key: "p/b", Value: value}}}
				if _, err := table.Commit(context.Background(), tx); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
		for running := true; running; {
			select {
			case err := <-done:
				must.NoError(t, err)
				running = false
			default:
			}
			page, err := table.List(t.Context(), "p/", "", 10)
			must.NoError(t, err)
			if len(page.Rows) > 0 {
				must.Len(t, 2, page.Rows)
				must.Eq(t, page.Rows[0].Value, page.Rows[1].Value)
				must.Eq(t, page.Rows[0].Version, page.Rows[1].Version)
			}
		}
	})
}

// Calls above the rate limit wait. A call whose context would end first is refused and
// has no effect.
func TestTable_Limit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		table.Limit(2000, 300)
		began := time.Now()
		for i := range 600 {
			_, err := table.Commit(t.Context(), platform.Tx{Writes: []platform.Write{{Key: fmt.Sprint(i)}}})
			must.NoError(t, err)
		}
		must.Between(t, 1800*time.Millisecond, time.Since(began), 2*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Microsecond)
		defer cancel()
		_, err := table.Commit(ctx, putTx("late", "v", 0))
		must.ErrorIs(t, err, platform.ErrUnavailable)
		must.Eq(t, int64(600), table.Counts().Commits)
	})
}

func TestTable_InvalidCalls(t *testing.T) {
	forEachTable(t, func(t *testing.T, table platform.Table, fake *standin.Table) {
		for _, key := range []string{"", ".", "..", "\xff", string(make([]byte, platform.MaxKeyBytes+1))} {
			_, err := table.Get(t.Context(), key)
			must.ErrorIs(t, err, platform.ErrInvalid)
		}
		duplicate := platform.Tx{Writes: []platform.Write{{Key: "a"}, {Key: "a"}}}
		_, err := table.Commit(t.Context(), duplicate)
		must.ErrorIs(t, err, platform.ErrInvalid)
		for _, key := range []string{"claim/desk/../x", "a b", "ü%2F?#", "a//b"} {
			_, err := table.Commit(t.Context(), putTx(key, "v", 0))
			must.NoError(t, err)
			row, err := table.Get(t.Context(), key)
			must.NoError(t, err)
			must.Eq(t, key, row.Key)
		}
		must.Eq(t, int64(4), fake.Counts().RowsWritten)
	})
}

// For each fault: the kind of error that the caller gets and whether the write took
// effect. ErrUnavailable must mean that it did not.
func TestTable_Faults(t *testing.T) {
	const timeout = 50 * time.Millisecond
	cases := []struct {
		name    string
		fault   standin.Fault
		unknown bool
		written bool
	}{
		{"refused", standin.Fault{Refuse: true}, false, false},
		{"down", standin.Fault{Down: true}, true, false},
		{"response lost", standin.Fault{LoseNext: 1}, true, true},
		{"all responses lost", standin.Fault{LoseProbability: 1}, true, true},
		{"delay before the effect", standin.Fault{Latency: time.Hour}, true, false},
		{"delay after the effect", standin.Fault{AnswerLatency: time.Hour}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachTable(t, func(t *testing.T, table platform.Table, fake *standin.Table) {
				fake.Faults().Set(standin.OpCommit, c.fault)
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				_, err := table.Commit(ctx, putTx("k", "v", 0))
				must.Error(t, err)
				must.Eq(t, c.unknown, platform.IsUnknown(err), must.Sprint(err))
				must.Eq(t, !c.unknown, errors.Is(err, platform.ErrUnavailable))
				fake.Faults().Clear()
				_, err = table.Get(t.Context(), "k")
				must.Eq(t, c.written, err == nil)
			})
		})
	}
}

// The outcome is certain if no connection was made, since nothing was sent then, or if
// the response has a code of the protocol. It is unknown after a connection that broke
// and after a response of something other than the service, such as a proxy.
func TestTableClient_UnknownOutcome(t *testing.T) {
	refusing := refusingURL(t)
	cases := []struct {
		name    string
		base    string
		unknown bool
	}{
		{"connection refused", refusing, false},
		{"bad gateway", serve(t, statusHandler(http.StatusBadGateway, "")), true},
		{"503 from a proxy", serve(t, statusHandler(http.StatusServiceUnavailable, "busy")), true},
		{"503 from the service", serve(t, statusHandler(http.StatusServiceUnavailable, `{"code":"unavailable"}`)), false},
		{"conflict without a code", serve(t, statusHandler(http.StatusConflict, "")), true},
		{"truncated response", serve(t, statusHandler(http.StatusOK, `{"version":`)), true},
		{"redirect", serve(t, http.RedirectHandler(refusing, http.StatusTemporaryRedirect)), true},
		{"closed connection", serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := platform.NewTableClient(c.base, nil).Commit(t.Context(), putTx("k", "v", 0))
			must.Error(t, err)
			must.Eq(t, c.unknown, platform.IsUnknown(err), must.Sprint(err))
		})
	}
}

func statusHandler(code int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	})
}

func TestObjects_Contract(t *testing.T) {
	suite := func(t *testing.T, objects platform.Objects, fake *standin.Objects) {
		ctx := t.Context()
		_, err := objects.Get(ctx, "checkpoint/a/1")
		must.ErrorIs(t, err, platform.ErrNotFound)
		must.NoError(t, objects.Put(ctx, "checkpoint/a/1", []byte{0, 1, 255}))
		data, err := objects.Get(ctx, "checkpoint/a/1")
		must.NoError(t, err)
		must.Eq(t, []byte{0, 1, 255}, data)
		must.NoError(t, objects.Put(ctx, "checkpoint/a/1", []byte{}))
		data, err = objects.Get(ctx, "checkpoint/a/1")
		must.NoError(t, err)
		must.Eq(t, 0, len(data))
		must.NoError(t, objects.Delete(ctx, "checkpoint/a/1"))
		must.NoError(t, objects.Delete(ctx, "checkpoint/a/1"))
		_, err = objects.Get(ctx, "checkpoint/a/1")
		must.ErrorIs(t, err, platform.ErrNotFound)
		must.ErrorIs(t, objects.Put(ctx, "", nil), platform.ErrInvalid)
		fake.Faults().Set(standin.OpPut, standin.Fault{LoseNext: 1})
		must.True(t, platform.IsUnknown(objects.Put(ctx, "k", []byte("v"))))
		must.Eq(t, 1, fake.Len())
	}
	t.Run("memory", func(t *testing.T) {
		fake := standin.NewObjects()
		suite(t, fake, fake)
	})
	t.Run("http", func(t *testing.T) {
		fake := standin.NewObjects()
		suite(t, platform.NewObjectsClient(serve(t, standin.ObjectsHandler(fake)), nil), fake)
	})
}

func taskStart(id string, fence int64, checkpoint string) platform.TaskStart {
	return platform.TaskStart{
		ID: id, Fence: fence, Checkpoint: checkpoint, Lease: time.Hour,
		Spec: structs.TaskSpec{Name: "recalibration", Kind: structs.KindWatch, Declared: structs.Resources{MilliCPU: 500}},
	}
}

func TestWorker_Contract(t *testing.T) {
	suite := func(t *testing.T, worker platform.Worker) {
		ctx := t.Context()
		must.NoError(t, worker.Start(ctx, taskStart("a", 2, "")))
		must.NoError(t, worker.Start(ctx, taskStart("a", 2, "")))
		must.ErrorIs(t, worker.Start(ctx, taskStart("a", 1, "")), platform.ErrStaleFence)
		must.ErrorIs(t, worker.Stop(ctx, "a", 1), platform.ErrStaleFence)
		must.ErrorIs(t, worker.Forget(ctx, "a", 2), platform.ErrInvalid)
		must.ErrorIs(t, worker.Throttle(ctx, "a", 2, 0), platform.ErrInvalid)
		must.NoError(t, worker.Throttle(ctx, "a", 2, 0.5))
		lost, err := worker.Extend(ctx, map[string]int64{"a": 2, "b": 1}, time.Hour)
		must.NoError(t, err)
		must.Eq(t, []string{"b"}, lost)
		key, err := worker.Checkpoint(ctx, "a", 2)
		must.NoError(t, err)
		statuses, err := worker.List(ctx)
		must.NoError(t, err)
		want := platform.TaskStatus{
			ID: "a", Fence: 2, Phase: platform.PhaseRunning, Usage: structs.Resources{MilliCPU: 250}, Checkpoint: key,
		}
		must.Eq(t, []platform.TaskStatus{want}, statuses)

		must.NoError(t, worker.Stop(ctx, "a", 2))
		must.NoError(t, worker.Stop(ctx, "a", 2))
		_, err = worker.Checkpoint(ctx, "a", 2)
		must.ErrorIs(t, err, platform.ErrLeaseExpired)
		must.ErrorIs(t, worker.Start(ctx, taskStart("a", 2, "")), platform.ErrStaleFence)
		must.NoError(t, worker.Forget(ctx, "a", 2))
		must.ErrorIs(t, worker.Start(ctx, taskStart("a", 2, "")), platform.ErrStaleFence)
		must.NoError(t, worker.Start(ctx, taskStart("a", 3, key)))
		must.ErrorIs(t, worker.Start(ctx, taskStart("c", 1, "missing")), platform.ErrNotFound)
		// Stopping an unknown task fences its later start.
		must.NoError(t, worker.Stop(ctx, "d", 5))
		must.ErrorIs(t, worker.Start(ctx, taskStart("d", 5, "")), platform.ErrStaleFence)
	}
	t.Run("memory", func(t *testing.T) {
		suite(t, standin.NewWorker(standin.WorkerOptions{VM: "vm", Objects: standin.NewObjects()}))
	})
	t.Run("http", func(t *testing.T) {
		fake := standin.NewWorker(standin.WorkerOptions{VM: "vm", Objects: standin.NewObjects()})
		suite(t, platform.NewWorkerClient(serve(t, standin.WorkerHandler(fake)), nil))
	})
}
