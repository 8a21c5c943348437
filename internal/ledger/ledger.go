// Package ledger keeps in the platform's store what must outlast every process:
// accepted jobs, their cancellation, what of them is done, who leads, and where
// the agents are.
package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// Tables. The store applies the transactions of one part one after another, so jobs and
// cancels, which entries write, are spread over parts by the job's id. All else is in one
// part, so that a transaction may expect the term and change any of it.
const (
	part          = "main"
	jobTable      = "jobs"
	cancelTable   = "cancels"
	progressTable = "progress"
	termTable     = "term"
	renewalTable  = "renewal"
	agentTable    = "agents"
)

// leaderKey is the key of the one row of termTable and of renewalTable. They are
// two tables because all entries follow the first, and the second changes often.
const leaderKey = "leader"

// Ledger is safe for concurrent use.
type Ledger struct {
	store store.Store
	bulk  *store.BulkReader
}

// New returns a ledger in s. bulk reads whole tables of it.
func New(s store.Store, bulk *store.BulkReader) *Ledger { return &Ledger{store: s, bulk: bulk} }

func key(table, k string) store.Key { return store.Key{Table: table, Part: part, Key: k} }

// jobParts are the parts of jobTable and cancelTable, by the first digit of the job's id.
const jobParts = "0123456789abcdef"

func jobPart(id string) string { return strings.ToLower(id[:min(len(id), 1)]) }

func jobKey(table, id string) store.Key { return store.Key{Table: table, Part: jobPart(id), Key: id} }

// Accept stores a job. A job that is stored already stays as it is. After an
// error that wraps store.ErrRefused the job is not stored and never will be by
// this call; after any other error it may be.
func (l *Ledger) Accept(ctx context.Context, j *job.Job) error {
	value, err := EncodeJob(j)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	k := jobKey(jobTable, j.ID)
	_, err = l.store.Apply(ctx, store.Tx{
		Expect: []store.Expect{{Key: k}}, Writes: []store.Write{{Key: k, Value: value}},
	})
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return nil
	}
	return err
}

// Cancel stores that a job is to end.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	_, err := l.store.Apply(ctx, store.Tx{Writes: []store.Write{{Key: jobKey(cancelTable, id), Value: []byte("{}")}}})
	return err
}

// Status reads a job's state from the store.
func (l *Ledger) Status(ctx context.Context, id string) (state job.State, known bool, err error) {
	if row, err := l.readOne(ctx, jobKey(jobTable, id)); err != nil || row == nil {
		return "", false, err
	}
	row, err := l.readOne(ctx, key(progressTable, id))
	if err != nil {
		return "", false, err
	}
	if row != nil {
		var p planner.Progress
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return "", false, fmt.Errorf("decode progress of %s: %w", id, err)
		}
		return p.State, true, nil
	}
	if row, err = l.readOne(ctx, jobKey(cancelTable, id)); err != nil {
		return "", false, err
	}
	if row != nil {
		return job.Cancelled, true, nil
	}
	return job.Queued, true, nil
}

func (l *Ledger) readOne(ctx context.Context, k store.Key) (*store.Row, error) {
	page, err := l.store.Read(ctx, store.Range{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}, 1)
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	return &page.Rows[0], nil
}

// endedJob replaces the row of a job that has ended, so that the next leader need not read
// it. The row stays: a repeated submission must find that the job was accepted.
var endedJob = []byte(`{"ended":true}`)

// EncodeJob returns a job as the ledger stores it, without its id.
func EncodeJob(j *job.Job) ([]byte, error) {
	value, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return value, nil
}

// DecodeJob reads what EncodeJob returns.
func DecodeJob(id string, value []byte) (*job.Job, error) {
	j := &job.Job{ID: id}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, fmt.Errorf("decode job %s: %w", id, err)
	}
	return j, nil
}

// FollowJobs returns the jobs stored after a version, as soon as there is one.
func (l *Ledger) FollowJobs(ctx context.Context, after int64, wait time.Duration) (*Contents, error) {
	rows, version, err := l.store.Feed(ctx, store.Changes{Table: jobTable, After: after, Wait: wait})
	if err != nil {
		return nil, err
	}
	c := &Contents{Version: version}
	for _, row := range rows {
		if !row.Deleted && row.Part == jobPart(row.Key) && !bytes.Equal(row.Value, endedJob) {
			c.add(DecodeJob(row.Key, row.Value))
		}
	}
	return c, nil
}

// FollowCancels returns the jobs cancelled after a version, as soon as there is
// one.
func (l *Ledger) FollowCancels(ctx context.Context, after int64, wait time.Duration) (*Contents, error) {
	rows, version, err := l.store.Feed(ctx, store.Changes{Table: cancelTable, After: after, Wait: wait})
	if err != nil {
		return nil, err
	}
	c := &Contents{Version: version}
	for _, row := range rows {
		if !row.Deleted && row.Part == jobPart(row.Key) {
			c.Cancels = append(c.Cancels, row.Key)
		}
	}
	return c, nil
}
