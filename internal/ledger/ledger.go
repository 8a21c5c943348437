// Package ledger persists the state that must survive the loss of all processes in the
// platform's store: accepted jobs, their cancellations and progress, the leader's term and
// the addresses of agents.
package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/store"
)

// Tables. The store serializes the transactions of one part (the partition of a key), so jobs
// and cancels, which entries write, are spread over parts by the job's id. All other tables
// share one part, so that one transaction can check the term and change any of them.
const (
	mainPart      = "main"
	jobTable      = "jobs"
	cancelTable   = "cancels"
	progressTable = "progress"
	termTable     = "term"
	renewalTable  = "renewal"
	agentTable    = "agents"
)

// leaderKey is the key of the only row of termTable and of renewalTable. The tables are
// separate because all entries follow termTable and renewalTable changes often.
const leaderKey = "leader"

// Ledger reads and writes the tables of the store. It is safe for concurrent use.
type Ledger struct {
	store store.Store
	bulk  *store.BulkReader
}

// New returns a ledger in s. bulk reads whole tables of s.
func New(s store.Store, bulk *store.BulkReader) *Ledger { return &Ledger{store: s, bulk: bulk} }

func mainKey(table, k string) store.Key { return store.Key{Table: table, Part: mainPart, Key: k} }

// jobParts are the parts of jobTable and cancelTable, one for each first digit of a job's id.
const jobParts = "0123456789abcdef"

func jobPart(id string) string { return strings.ToLower(id[:min(len(id), 1)]) }

func jobKey(table, id string) store.Key { return store.Key{Table: table, Part: jobPart(id), Key: id} }

// Accept stores a job. A job that is stored already is not changed. After ErrCancelled the job is
// not stored. After an error that wraps store.ErrRefused, this call has not stored the job and
// will not store it later. After any other error the job may be stored.
func (l *Ledger) Accept(ctx context.Context, j *job.Job) error {
	value, err := EncodeJob(j)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	k := jobKey(jobTable, j.ID)
	_, err = l.store.Apply(ctx, store.Tx{
		Expect: []store.Expect{{Key: k}, {Key: jobKey(cancelTable, j.ID)}}, Writes: []store.Write{{Key: k, Value: value}},
	})
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return acceptConflict(j.ID, conflict)
	}
	return err
}

// Status reads a job's state from the store. found is false if the job is not stored.
func (l *Ledger) Status(ctx context.Context, id string) (state job.State, found bool, err error) {
	if row, err := l.readRow(ctx, jobKey(jobTable, id)); err != nil || row == nil {
		return "", false, err
	}
	row, err := l.readRow(ctx, mainKey(progressTable, id))
	if err != nil {
		return "", false, err
	}
	if row != nil {
		p, err := decodeProgress(row)
		if err != nil {
			return "", false, err
		}
		return p.State, true, nil
	}
	if row, err = l.readRow(ctx, jobKey(cancelTable, id)); err != nil {
		return "", false, err
	}
	if row != nil {
		return job.Cancelled, true, nil
	}
	return job.Queued, true, nil
}

func (l *Ledger) readRow(ctx context.Context, k store.Key) (*store.Row, error) {
	page, err := l.store.Read(ctx, store.ReadRequest{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}, 1)
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	return &page.Rows[0], nil
}

// compactedJob replaces the value of an ended job's row, so that the next leader reads fewer
// bytes. The row itself stays, since a repeated submission must find that the job was accepted.
var compactedJob = []byte(`{"ended":true}`)

// EncodeJob returns the stored form of a job, which does not include the id.
func EncodeJob(j *job.Job) ([]byte, error) {
	value, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return value, nil
}

// DecodeJob decodes the result of EncodeJob. It returns an error for a job whose numbers are out of
// bounds, which only another writer stores.
func DecodeJob(id string, value []byte) (*job.Job, error) {
	if !job.ValidID(id) {
		return nil, fmt.Errorf("decode job %q: invalid id", id)
	}
	j := &job.Job{ID: id}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, fmt.Errorf("decode job %s: %w", id, err)
	}
	if err := j.CheckBounds(); err != nil {
		return nil, fmt.Errorf("decode job %s: %w", id, err)
	}
	return j, nil
}

// FollowJobs waits up to the given time for jobs stored after a version, and returns them as
// soon as there is one.
func (l *Ledger) FollowJobs(ctx context.Context, after int64, wait time.Duration) (*Contents, error) {
	rows, version, err := l.store.Feed(ctx, store.FeedRequest{Table: jobTable, After: after, Wait: wait})
	if err != nil {
		return nil, err
	}
	c := &Contents{Version: version, Rows: len(rows)}
	for _, row := range c.ownRows(stored(rows)) {
		if !bytes.Equal(row.Value, compactedJob) {
			c.addJob(DecodeJob(row.Key, row.Value))
		}
	}
	return c, nil
}

// FollowCancels waits up to the given time for cancellations stored after a version, and
// returns them as soon as there is one.
func (l *Ledger) FollowCancels(ctx context.Context, after int64, wait time.Duration) (*Contents, error) {
	rows, version, err := l.store.Feed(ctx, store.FeedRequest{Table: cancelTable, After: after, Wait: wait})
	if err != nil {
		return nil, err
	}
	c := &Contents{Version: version, Rows: len(rows)}
	for _, row := range c.ownRows(stored(rows)) {
		c.Cancels = append(c.Cancels, decodeCancel(row))
	}
	return c, nil
}

// stored returns the rows of a feed that are not deleted.
func stored(rows []store.Row) []store.Row {
	return slices.DeleteFunc(rows, func(row store.Row) bool { return row.Deleted })
}
