package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// Contents is all that the ledger has of jobs.
type Contents struct {
	Jobs     []*job.Job
	Progress map[string]*planner.Progress
	Cancels  []string
	// Version is where feeds of jobs and cancels continue.
	Version int64
	// Orphans have lost either their job or their progress: they were being forgotten.
	Orphans []string
	// Unreadable has the errors of rows that were left out.
	Unreadable []error

	progressVersions map[string]int64
}

func (c *Contents) add(j *job.Job, err error) {
	if err != nil {
		c.Unreadable = append(c.Unreadable, err)
		return
	}
	c.Jobs = append(c.Jobs, j)
}

// Loader reads everything. What it has read before a failed call it keeps, and goes on
// from there when Run is called again.
type Loader struct {
	ledger *Ledger

	progress    []store.Row
	hasProgress bool
	// jobs and cancels are by part; nil until a part is read.
	jobs, cancels [len(jobParts)]*rowsOfPart
}

type rowsOfPart struct {
	rows    []store.Row
	version int64
}

// NewLoader begins to read everything.
func (l *Ledger) NewLoader() *Loader { return &Loader{ledger: l} }

// Run reads what has not been read yet.
//
// Progress is read first: a job is removed before its progress, so that one that is
// found without it has none. Only the leader writes progress, and a term that has begun
// ends all writes of earlier ones.
func (d *Loader) Run(ctx context.Context) (*Contents, error) {
	defer d.ledger.bulk.BeginUrgent()()
	if !d.hasProgress {
		rows, _, err := d.ledger.bulk.ReadAll(ctx, store.Range{Table: progressTable, Part: part})
		if err != nil {
			return nil, fmt.Errorf("read progress: %w", err)
		}
		d.progress, d.hasProgress = rows, true
	}
	if err := d.readParts(ctx, jobTable, &d.jobs); err != nil {
		return nil, fmt.Errorf("read jobs: %w", err)
	}
	if err := d.readParts(ctx, cancelTable, &d.cancels); err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	return d.contents(), nil
}

// readParts reads the parts of a table that are lacking, all that it can.
func (d *Loader) readParts(ctx context.Context, table string, parts *[len(jobParts)]*rowsOfPart) error {
	var group errgroup.Group
	var mu sync.Mutex
	for i := range parts {
		if parts[i] != nil {
			continue
		}
		group.Go(func() error {
			rows, version, err := d.ledger.bulk.ReadAll(ctx, store.Range{Table: table, Part: jobParts[i : i+1]})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			parts[i] = &rowsOfPart{rows, version}
			return nil
		})
	}
	return group.Wait()
}

func (d *Loader) contents() *Contents {
	c := &Contents{
		Progress: map[string]*planner.Progress{}, progressVersions: map[string]int64{},
		Version: min(d.jobs[0].version, d.cancels[0].version),
	}
	known, ended := map[string]bool{}, map[string]bool{}
	for i := range jobParts {
		c.Version = min(c.Version, d.jobs[i].version, d.cancels[i].version)
		for _, row := range d.jobs[i].rows {
			known[row.Key] = true
			if bytes.Equal(row.Value, endedJob) {
				ended[row.Key] = true
				continue
			}
			c.add(DecodeJob(row.Key, row.Value))
		}
		for _, row := range d.cancels[i].rows {
			c.Cancels = append(c.Cancels, row.Key)
		}
	}
	for _, row := range d.progress {
		if !known[row.Key] {
			c.Orphans = append(c.Orphans, row.Key)
			continue
		}
		var p planner.Progress
		if err := json.Unmarshal(row.Value, &p); err != nil {
			c.Unreadable = append(c.Unreadable, fmt.Errorf("decode progress of %s: %w", row.Key, err))
			continue
		}
		c.Progress[row.Key] = &p
		c.progressVersions[row.Key] = row.Version
		if ended[row.Key] && p.State.Terminal() {
			c.Jobs = append(c.Jobs, &job.Job{ID: row.Key})
			delete(ended, row.Key)
		}
	}
	// What has ended and has no progress any more was being forgotten.
	c.Orphans = append(c.Orphans, slices.Sorted(maps.Keys(ended))...)
	return c
}

// ReadJob reads what the ledger has of one job; the contents have no job if there is none.
func (l *Ledger) ReadJob(ctx context.Context, id string) (*Contents, error) {
	d := Loader{ledger: l, hasProgress: true}
	for i := range d.jobs {
		d.jobs[i], d.cancels[i] = &rowsOfPart{}, &rowsOfPart{}
	}
	if row, err := l.readOne(ctx, key(progressTable, id)); err != nil {
		return nil, fmt.Errorf("read progress: %w", err)
	} else if row != nil {
		d.progress = []store.Row{*row}
	}
	if row, err := l.readOne(ctx, jobKey(jobTable, id)); err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	} else if row != nil {
		d.jobs[0].rows = []store.Row{*row}
	}
	return d.contents(), nil
}

// SetProgressVersions remembers the versions of the progress that a load has read; Commit relies on
// them.
func (h *HeldTerm) SetProgressVersions(c *Contents) { h.progress = c.progressVersions }
