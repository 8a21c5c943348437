package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/structs"
)

func batchStart(id string, fence int64, lease time.Duration, checkpoint string) platform.TaskStart {
	return platform.TaskStart{
		ID: id, Fence: fence, Lease: lease, Checkpoint: checkpoint,
		Spec: structs.TaskSpec{Name: "fee-run", Kind: structs.KindBatch, DurationMS: 100_000},
	}
}

// A task stops when its lease expires, without a Stop call. A start with a checkpoint
// resumes with the checkpoint's progress.
func TestWorker_LeaseAndProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		w := standin.NewWorker(standin.WorkerOptions{VM: "vm", Objects: standin.NewObjects()})
		must.NoError(t, w.Start(ctx, batchStart("a", 1, 30*time.Second, "")))
		time.Sleep(20 * time.Second)
		key, err := w.Checkpoint(ctx, "a", 1)
		must.NoError(t, err)
		time.Sleep(20 * time.Second)
		lost, err := w.Extend(ctx, map[string]int64{"a": 1}, time.Minute)
		must.NoError(t, err)
		must.Eq(t, []string{"a"}, lost)
		run := w.Runs()[0]
		must.Eq(t, 30*time.Second, run.To.Sub(run.From))

		must.NoError(t, w.Start(ctx, batchStart("a", 2, time.Hour, key)))
		must.NoError(t, w.Throttle(ctx, "a", 2, 0.5))
		time.Sleep(time.Hour)
		run = w.Runs()[1]
		must.Eq(t, platform.PhaseSucceeded, run.Phase)
		must.Eq(t, 160*time.Second, run.To.Sub(run.From)) // 80 s of work left at half speed
	})
}

func TestRunner_Faults(t *testing.T) {
	cases := []struct {
		fault standin.RunnerFault
		runs  int
		check func(t *testing.T, resp *http.Response, body string, err error)
	}{
		{"", 1, func(t *testing.T, resp *http.Response, body string, err error) {
			must.NoError(t, err)
			must.Eq(t, "r1", resp.Header.Get(standin.RequestIDHeader))
			must.Eq(t, "glint r1\nbody", body)
			must.Eq(t, int64(len(body)), resp.ContentLength)
		}},
		{standin.RunnerFail, 0, func(t *testing.T, resp *http.Response, _ string, err error) {
			must.NoError(t, err)
			must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
		}},
		{standin.RunnerTruncate, 1, func(t *testing.T, _ *http.Response, _ string, err error) { must.ErrorIs(t, err, io.ErrUnexpectedEOF) }},
		{standin.RunnerWrongID, 1, func(t *testing.T, resp *http.Response, _ string, err error) {
			must.NoError(t, err)
			must.NotEq(t, "r1", resp.Header.Get(standin.RequestIDHeader))
		}},
		{standin.RunnerDuplicate, 1, func(t *testing.T, _ *http.Response, body string, err error) {
			must.NoError(t, err)
			must.Eq(t, "glint r1\nbody", body)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			runner := standin.NewRunner(standin.RunnerOptions{Mean: time.Microsecond, Distribution: standin.Constant})
			server := httptest.NewServer(runner)
			defer server.Close()
			runner.SetFault(c.fault, 1)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/glint", strings.NewReader("body"))
			must.NoError(t, err)
			req.Header.Set(standin.RequestIDHeader, "r1")
			resp, err := server.Client().Do(req)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			c.check(t, resp, string(body), err)
			must.Eq(t, c.runs, runner.Runs("r1"))
		})
	}
}
