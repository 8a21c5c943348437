package ledger

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// Contents is the stored state of all jobs, or a part of it.
type Contents struct {
	Jobs     []*job.Job
	Progress map[string]*planner.Progress
	Cancels  []Cancel
	// Version is the version from which feeds of jobs and cancels continue.
	Version int64
	// Rows is the number of rows that a feed has returned, whatever they hold.
	Rows int
	// PartiallyDeleted holds the ids of ended jobs whose deletion was interrupted: either the
	// job or the progress is missing.
	PartiallyDeleted []string
	// Unreadable holds one error for each row that could not be decoded and was skipped.
	Unreadable []error
	// UnknownProgress holds the ids of jobs whose progress could not be decoded, or that have progress but
	// could not be decoded themselves. They are not in Jobs, and must not be added later, since their tasks
	// may be done.
	UnknownProgress []string
	// HeldEnds are ends of stored jobs that an earlier leader kept, since it did not have the job.
	// ObsoleteEnds are those of jobs that are not stored or have ended.
	HeldEnds, ObsoleteEnds []job.End

	// JobVersions holds the versions of the jobs' rows. They are comparable with those of registrations.
	JobVersions map[string]int64

	progressVersions map[string]int64
}

func (c *Contents) addJob(j *job.Job, err error) {
	if err != nil {
		c.Unreadable = append(c.Unreadable, err)
		return
	}
	c.Jobs = append(c.Jobs, j)
}

// Loader reads the stored state of all jobs. After a failed call it keeps the tables and
// parts that it has read, and the next call of Run reads only the others.
type Loader struct {
	ledger *Ledger

	progress     []store.Row
	progressRead bool
	heldEnds     []store.Row
	heldEndsRead bool
	// jobs and cancels are indexed by part; an element is nil until its part has been read.
	jobs, cancels [len(jobParts)]*partRows
}

type partRows struct {
	rows    []store.Row
	version int64
}

// NewLoader returns a Loader that has not read anything.
func (l *Ledger) NewLoader() *Loader { return &Loader{ledger: l} }

// Run reads the tables and parts that have not been read yet.
//
// Progress is read first. Deletion removes a job before its progress, so a job that is found
// without progress has never had any. Progress does not change while it is read: only the
// leader writes it, and the start of a term ends all writes of earlier terms.
func (d *Loader) Run(ctx context.Context) (*Contents, error) {
	defer d.ledger.bulk.BeginUrgent()()
	if !d.progressRead {
		rows, _, err := d.ledger.bulk.ReadAll(ctx, store.ReadRequest{Table: progressTable, Part: mainPart})
		if err != nil {
			return nil, fmt.Errorf("read progress: %w", err)
		}
		d.progress, d.progressRead = rows, true
	}
	if err := d.readJobsAndHeldEnds(ctx); err != nil {
		return nil, err
	}
	if err := d.readParts(ctx, cancelTable, &d.cancels); err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	return d.contents(), nil
}

func (d *Loader) readJobsAndHeldEnds(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		if d.heldEndsRead {
			return nil
		}
		rows, _, err := d.ledger.bulk.ReadAll(ctx, store.ReadRequest{Table: heldEndTable, Part: mainPart})
		if err != nil {
			return fmt.Errorf("read held ends: %w", err)
		}
		d.heldEnds, d.heldEndsRead = rows, true
		return nil
	})
	group.Go(func() error {
		if err := d.readParts(ctx, jobTable, &d.jobs); err != nil {
			return fmt.Errorf("read jobs: %w", err)
		}
		return nil
	})
	return group.Wait()
}

// readParts reads the parts of a table that have not been read yet. A part that fails does not
// keep the others from being read.
func (d *Loader) readParts(ctx context.Context, table string, parts *[len(jobParts)]*partRows) error {
	var group errgroup.Group
	var mu sync.Mutex
	for i := range parts {
		if parts[i] != nil {
			continue
		}
		group.Go(func() error {
			rows, version, err := d.ledger.bulk.ReadAll(ctx, store.ReadRequest{Table: table, Part: jobParts[i : i+1]})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			parts[i] = &partRows{rows, version}
			return nil
		})
	}
	return group.Wait()
}

func (d *Loader) contents() *Contents {
	c := &Contents{
		Progress: map[string]*planner.Progress{}, progressVersions: map[string]int64{}, JobVersions: map[string]int64{},
		Version: min(d.jobs[0].version, d.cancels[0].version),
	}
	stored, ended := map[string]bool{}, map[string]bool{}
	var jobs []store.Row
	for i := range jobParts {
		c.Version = min(c.Version, d.jobs[i].version, d.cancels[i].version)
		jobs = append(jobs, c.ownRows(d.jobs[i].rows)...)
		for _, row := range c.ownRows(d.cancels[i].rows) {
			c.Cancels = append(c.Cancels, decodeCancel(row))
		}
	}
	for _, row := range jobs {
		stored[row.Key] = true
		c.JobVersions[row.Key] = row.Version
		if bytes.Equal(row.Value, compactedJob) {
			ended[row.Key] = true
		}
	}
	unknownProgress := c.addProgress(d.progress, stored)
	c.addHeldEnds(d.heldEnds, stored, ended)
	for _, row := range jobs {
		if ended[row.Key] || unknownProgress[row.Key] {
			continue
		}
		j, err := DecodeJob(row.Key, row.Value)
		if p := c.Progress[row.Key]; err == nil && p != nil && !p.Fits(j) {
			c.addUnknownProgress(row.Key, fmt.Errorf("decode progress of %s: %w", row.Key, errInvalidProgress))
			continue
		}
		c.addJob(j, err)
		if err != nil && c.Progress[row.Key] != nil {
			c.UnknownProgress = append(c.UnknownProgress, row.Key)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(ended)) {
		switch p := c.Progress[id]; {
		case unknownProgress[id]:
		case p != nil && p.State.Terminal():
			c.Jobs = append(c.Jobs, &job.Job{ID: id})
		default:
			// A compacted job without progress is left from an interrupted deletion.
			c.PartiallyDeleted = append(c.PartiallyDeleted, id)
		}
	}
	return c
}

// ownRows returns the rows of jobTable or cancelTable whose key is a job's id in the part of that id.
// Only another writer leaves others.
func (c *Contents) ownRows(rows []store.Row) []store.Row {
	own := make([]store.Row, 0, len(rows))
	for _, row := range rows {
		if !job.ValidID(row.Key) || row.Part != jobPart(row.Key) {
			c.Unreadable = append(c.Unreadable, fmt.Errorf("row of %s with key %.40q in part %.40q", row.Table, row.Key, row.Part))
			continue
		}
		own = append(own, row)
	}
	return own
}

// addProgress decodes the rows of progress and returns the ids of jobs whose progress cannot be
// decoded. Such a job must not run: tasks that are done would run again.
func (c *Contents) addProgress(rows []store.Row, stored map[string]bool) (unknown map[string]bool) {
	unknown = map[string]bool{}
	for _, row := range rows {
		if !stored[row.Key] {
			c.PartiallyDeleted = append(c.PartiallyDeleted, row.Key)
			continue
		}
		p, err := decodeProgress(&row)
		if err != nil {
			c.addUnknownProgress(row.Key, err)
			unknown[row.Key] = true
			continue
		}
		c.Progress[row.Key] = p
		c.progressVersions[row.Key] = row.Version
	}
	return unknown
}

func (c *Contents) addUnknownProgress(id string, err error) {
	delete(c.Progress, id)
	c.Unreadable = append(c.Unreadable, err)
	c.UnknownProgress = append(c.UnknownProgress, id)
}

// ReadJob reads the job and the progress of one id. Jobs is empty if the job is not stored.
func (l *Ledger) ReadJob(ctx context.Context, id string) (*Contents, error) {
	d := Loader{ledger: l, progressRead: true}
	for i := range d.jobs {
		d.jobs[i], d.cancels[i] = &partRows{}, &partRows{}
	}
	if row, err := l.readRow(ctx, mainKey(progressTable, id)); err != nil {
		return nil, fmt.Errorf("read progress: %w", err)
	} else if row != nil {
		d.progress = []store.Row{*row}
	}
	if row, err := l.readRow(ctx, jobKey(jobTable, id)); err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	} else if row != nil {
		d.jobs[0].rows = []store.Row{*row}
	}
	return d.contents(), nil
}

// SetProgressVersions sets the versions of the progress rows that Commit expects in the store.
func (h *HeldTerm) SetProgressVersions(c *Contents) { h.progressVersions = c.progressVersions }
