package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// ErrDeposed says that another entry leads a later term.
var ErrDeposed = errors.New("a later term has begun")

// Term is a leadership as the store has it.
type Term struct {
	// Number is 0 if nobody has led yet.
	Number int64 `json:"number"`
	// Leader is the peer address of the entry that leads.
	Leader string `json:"leader"`
	// Process tells two processes at the same address apart.
	Process string `json:"process"`
	// Resigned says that the leader has given up the term.
	Resigned bool `json:"resigned,omitempty"`

	version int64
}

// CurrentTerm reads who leads, and where FollowTerm continues.
func (l *Ledger) CurrentTerm(ctx context.Context) (Term, int64, error) {
	page, err := l.store.Read(ctx, store.Range{Table: termTable, Part: part}, 1)
	if err != nil {
		return Term{}, 0, fmt.Errorf("read term: %w", err)
	}
	for _, row := range page.Rows {
		if row.Key == leaderKey {
			t, err := decodeTerm(row)
			return t, page.Version, err
		}
	}
	return Term{}, page.Version, nil
}

// RenewalVersion returns a number that changes with each renewal of the term.
func (l *Ledger) RenewalVersion(ctx context.Context) (int64, error) {
	row, err := l.readOne(ctx, key(renewalTable, leaderKey))
	if err != nil || row == nil {
		return 0, err
	}
	return row.Version, nil
}

func decodeTerm(row store.Row) (Term, error) {
	var t Term
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return Term{}, fmt.Errorf("decode term: %w", err)
	}
	t.version = row.Version
	return t, nil
}

// HeldTerm is a term that this process leads. Its methods are not safe for
// concurrent use, except Renew.
type HeldTerm struct {
	ledger *Ledger
	Term   Term
	// Renewed says that the term has been renewed by beginning it. One that was taken
	// up may have begun long ago.
	Renewed bool
	// progress has the version of each job's row of progressTable.
	progress map[string]int64
	// doubtful is a transaction that may have been applied.
	doubtful *store.Tx
}

// BeginTerm begins the term after prev, if prev is still the current one. A term that
// this process began without learning of it is taken up.
func (l *Ledger) BeginTerm(ctx context.Context, prev Term, leader, process string) (*HeldTerm, error) {
	if prev.Process == process && !prev.Resigned {
		return &HeldTerm{ledger: l, Term: prev, progress: map[string]int64{}}, nil
	}
	t := Term{Number: prev.Number + 1, Leader: leader, Process: process}
	value, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode term: %w", err)
	}
	k := key(termTable, leaderKey)
	t.version, err = l.store.Apply(ctx, store.Tx{
		Expect: []store.Expect{{Key: k, Version: prev.version}},
		Writes: []store.Write{{Key: k, Value: value}, {Key: key(renewalTable, leaderKey), Value: []byte(process)}},
	})
	conflict := (*store.ConflictError)(nil)
	if errors.As(err, &conflict) {
		row, ok := conflict.Row(termTable, leaderKey)
		if !ok || !bytes.Equal(row.Value, value) {
			return nil, fmt.Errorf("%w: %w", ErrDeposed, err)
		}
		t.version = row.Version
	} else if err != nil {
		return nil, fmt.Errorf("begin term %d: %w", t.Number, err)
	}
	return &HeldTerm{ledger: l, Term: t, Renewed: err == nil, progress: map[string]int64{}}, nil
}

func (h *HeldTerm) expectTerm() store.Expect {
	return store.Expect{Key: key(termTable, leaderKey), Version: h.Term.version}
}

// current says that the term's row was not what a conflict is about.
func (h *HeldTerm) current(conflict *store.ConflictError) bool {
	row, ok := conflict.Row(termTable, leaderKey)
	return ok && row.Version == h.Term.version
}

// Renew shows the other entries that this process leads.
func (h *HeldTerm) Renew(ctx context.Context) error {
	return deposedBy(h.ledger.apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm()},
		Writes: []store.Write{{Key: key(renewalTable, leaderKey), Value: []byte(h.Term.Process)}},
	}))
}

// Resign gives up the term, so that another entry may lead at once.
func (h *HeldTerm) Resign(ctx context.Context) error {
	t := h.Term
	t.Resigned = true
	value, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("encode term: %w", err)
	}
	return h.ledger.apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm()},
		Writes: []store.Write{{Key: key(termTable, leaderKey), Value: value}},
	})
}

func (l *Ledger) apply(ctx context.Context, tx store.Tx) error {
	_, err := l.store.Apply(ctx, tx)
	return err
}

func deposedBy(err error) error {
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return fmt.Errorf("%w: %w", ErrDeposed, err)
	}
	return err
}

// MaxCommit is the most changes that Commit takes at once: each needs an
// expected row and a write, and the term one more.
const MaxCommit = (store.MaxTxEntries - 1) / 2

// Commit stores changes of progress, all or none. After an error other than
// ErrDeposed they may be stored; the same changes or newer ones of the same jobs
// may be committed again.
func (h *HeldTerm) Commit(ctx context.Context, changes []planner.Change) error {
	if h.doubtful != nil {
		if err := h.settle(ctx); err != nil {
			return err
		}
	}
	tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
	for _, c := range changes {
		value, err := json.Marshal(c.Progress)
		if err != nil {
			return fmt.Errorf("encode progress of %s: %w", c.Job, err)
		}
		k := key(progressTable, c.Job)
		tx.Expect = append(tx.Expect, store.Expect{Key: k, Version: h.progress[c.Job]})
		tx.Writes = append(tx.Writes, store.Write{Key: k, Value: value})
	}
	return h.try(ctx, tx)
}

// settle repeats a transaction of which the result is not known.
func (h *HeldTerm) settle(ctx context.Context) error {
	return h.try(ctx, *h.doubtful)
}

func (h *HeldTerm) try(ctx context.Context, tx store.Tx) error {
	version, err := h.ledger.store.Apply(ctx, tx)
	conflict := (*store.ConflictError)(nil)
	switch {
	case err == nil:
		h.doubtful = nil
		for _, w := range tx.Writes {
			h.progress[w.Key.Key] = version
		}
		return nil
	case errors.As(err, &conflict):
		return h.applied(tx, conflict)
	case errors.Is(err, store.ErrRefused):
		return err
	}
	h.doubtful = &tx
	return err
}

// applied handles a conflict: an earlier try of the same transaction has been
// applied if the rows are as it writes them, since nobody else writes them while
// the term lasts.
func (h *HeldTerm) applied(tx store.Tx, conflict *store.ConflictError) error {
	if !h.current(conflict) {
		return fmt.Errorf("%w: %w", ErrDeposed, conflict)
	}
	h.doubtful = nil
	all := true
	for _, w := range tx.Writes {
		row, ok := conflict.Row(w.Key.Table, w.Key.Key)
		if !ok {
			delete(h.progress, w.Key.Key)
			all = false
			continue
		}
		h.progress[w.Key.Key] = row.Version
		all = all && bytes.Equal(row.Value, w.Value)
	}
	if !all {
		return fmt.Errorf("progress rows have changed: %w", conflict)
	}
	return nil
}

// maxForget is the most jobs that DeleteJobs removes in one transaction of a part.
const maxForget = (store.MaxTxEntries - 1) / 2

// CompactJobs replaces the rows of jobs whose end is stored by small ones.
func (h *HeldTerm) CompactJobs(ctx context.Context, ids []string) error {
	parts := map[string][]store.Write{}
	for _, id := range ids {
		parts[jobPart(id)] = append(parts[jobPart(id)], store.Write{Key: jobKey(jobTable, id), Value: endedJob})
	}
	for _, writes := range parts {
		for chunk := range slices.Chunk(writes, store.MaxTxEntries) {
			if err := h.ledger.apply(ctx, store.Tx{Writes: chunk}); err != nil {
				return err
			}
		}
	}
	return nil
}

// DeleteJobs removes jobs that ended long ago. Progress goes last: a job without it would
// be run again. Whoever forgets a job knows that its end is stored, so its row may be
// removed by a deposed leader, too.
func (h *HeldTerm) DeleteJobs(ctx context.Context, ids []string) error {
	for len(ids) > 0 {
		n := min(len(ids), maxForget)
		parts := map[string]*store.Tx{}
		progress := store.Tx{Expect: []store.Expect{h.expectTerm()}}
		for _, id := range ids[:n] {
			tx := parts[jobPart(id)]
			if tx == nil {
				tx = &store.Tx{}
				parts[jobPart(id)] = tx
			}
			tx.Remove = append(tx.Remove, jobKey(jobTable, id), jobKey(cancelTable, id))
			progress.Remove = append(progress.Remove, key(progressTable, id))
			delete(h.progress, id)
		}
		for _, tx := range parts {
			if err := h.ledger.apply(ctx, *tx); err != nil {
				return err
			}
		}
		if err := deposedBy(h.ledger.apply(ctx, progress)); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}

// FollowTerm waits for another term to begin or the current one to be given up.
// version is where it continues.
func (l *Ledger) FollowTerm(
	ctx context.Context, after int64, wait time.Duration,
) (changed bool, version int64, err error) {
	rows, version, err := l.store.Feed(ctx, store.Changes{Table: termTable, After: after, Wait: wait})
	return len(rows) > 0, version, err
}
