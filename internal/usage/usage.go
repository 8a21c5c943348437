// Package usage stores the peak resource usage of the tasks of each name, as reported by the
// VMs' workers. Schedulers reserve resources by these peaks.
package usage

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// Recorder records peaks for one agent. It caches the peaks that it has read or written, so
// that most reports need no call to the table. It is safe for concurrent use.
type Recorder struct {
	table platform.Table

	mu    sync.Mutex
	peaks map[string]structs.Peak
}

// NewRecorder returns a Recorder with an empty cache.
func NewRecorder(table platform.Table) *Recorder {
	return &Recorder{table: table, peaks: map[string]structs.Peak{}}
}

// Report raises the stored peak of the tasks of a name if the measured usage of one of them
// exceeds it by the minimum increase of placement.RaisePeak. On a conflict with a concurrent write
// it returns nil and leaves the peak to the next report. Other errors of the table are returned.
func (r *Recorder) Report(ctx context.Context, name string, used structs.Resources) error {
	r.mu.Lock()
	cached := r.peaks[name]
	r.mu.Unlock()
	if _, raised := placement.RaisePeak(cached, used); !raised {
		return nil
	}
	row, err := state.Get[structs.Peak](ctx, r.table, state.PeakKey(name))
	if err != nil {
		return err
	}
	row.Value.Name = name
	peak, raised := placement.RaisePeak(row.Value, used)
	if raised {
		tx := state.NewTx()
		tx.Put(row.Key, row.Version, peak)
		err := state.Commit(ctx, r.table, tx)
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("store peak of %s: %w", name, err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peaks[name] = peak
	return nil
}
