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

	"bamboowood/internal/store"
)

// ErrDeposed means that this process no longer leads, because a later term has begun.
var ErrDeposed = errors.New("a later term has begun")

// NoLeader takes the place of a renewal's version if the term has no leader that could renew it.
const NoLeader int64 = -1

// ErrRenewed means that the leader has renewed its term.
var ErrRenewed = errors.New("the leader has renewed its term")

// Term is the stored record of a leadership.
type Term struct {
	// Number is 0 if no term has begun yet.
	Number int64 `json:"number"`
	// Leader is the peer address of the entry that leads.
	Leader string `json:"leader"`
	// Process distinguishes processes that use the same address one after another.
	Process string `json:"process"`
	// Resigned reports whether the leader has resigned from the term.
	Resigned bool `json:"resigned,omitempty"`
	// EarlierGrantsMillis is for how long after the resignation the leaders of earlier terms may still extend
	// the leases of agents; nil if unknown, which it is unless the leader has resigned.
	EarlierGrantsMillis *int64 `json:"earlier_grants_ms,omitempty"`
	// Unreadable is set if the row cannot be decoded or its number is out of range. Another
	// writer has replaced it; which term it was is unknown.
	Unreadable bool `json:"-"`

	version int64
}

// MaxTermNumber bounds the numbers of terms, which begin at 1 and from which run numbers are derived.
const MaxTermNumber = 1 << 32

// CurrentTerm reads the current term, and the version from which FollowTerm continues.
func (l *Ledger) CurrentTerm(ctx context.Context) (Term, int64, error) {
	// The range keeps out rows with other keys, which another writer may have left.
	page, err := l.store.Read(ctx, store.ReadRequest{Table: termTable, Part: mainPart, From: leaderKey, To: leaderKey + "\x00"}, 1)
	if err != nil {
		return Term{}, 0, fmt.Errorf("read term: %w", err)
	}
	if len(page.Rows) == 0 {
		return Term{}, page.Version, nil
	}
	return decodeTerm(page.Rows[0]), page.Version, nil
}

// RenewalVersion returns a number that changes with each renewal of the term; 0 if there has
// been none.
func (l *Ledger) RenewalVersion(ctx context.Context) (int64, error) {
	renewal, err := l.Renewal(ctx)
	return renewal.Version, err
}

// Renewal is the last renewal of a term. Its times are on the clock of the process that sent it; 0 if unknown.
type Renewal struct {
	// Version changes with each renewal; 0 if there has been none.
	Version int64
	// Process is that of Term.
	Process string
	// SentAt is when the renewal was sent, or earlier.
	SentAt time.Duration
	// EarlierGrantsUntil is that of HeldTerm.
	EarlierGrantsUntil time.Duration
}

// Labels of the times in a renewal, which follow the process.
const sentLabel, earlierGrantsLabel = "sent-ms=", "earlier-grants-until-ms="

// Renewal returns the last renewal.
func (l *Ledger) Renewal(ctx context.Context) (Renewal, error) {
	k := mainKey(renewalTable, leaderKey)
	page, err := l.store.Read(ctx, store.ReadRequest{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}, 1)
	if err != nil {
		return Renewal{}, fmt.Errorf("read renewal: %w", err)
	}
	if len(page.Rows) == 0 {
		return Renewal{}, nil
	}
	return decodeRenewal(page.Rows[0]), nil
}

func decodeRenewal(row store.Row) Renewal {
	fields := strings.Split(string(row.Value), " ")
	r := Renewal{Version: row.Version, Process: fields[0]}
	if len(fields) != 3 {
		return r
	}
	sent, errSent := labelledMillis(fields[1], sentLabel)
	earlier, errEarlier := labelledMillis(fields[2], earlierGrantsLabel)
	if errSent == nil && errEarlier == nil && earlier > 0 {
		r.SentAt, r.EarlierGrantsUntil = sent, earlier
	}
	return r
}

func (h *HeldTerm) renewal() store.Write {
	value := []byte(h.Term.Process)
	if h.Clock != nil {
		until := (h.EarlierGrantsUntil + time.Millisecond - 1).Milliseconds()
		value = fmt.Appendf(value, " %s%d %s%d", sentLabel, h.Clock().Milliseconds(), earlierGrantsLabel, until)
	}
	return store.Write{Key: mainKey(renewalTable, leaderKey), Value: value}
}

func decodeTerm(row store.Row) Term {
	var t Term
	if err := json.Unmarshal(row.Value, &t); err != nil || t.Number < 1 || t.Number > MaxTermNumber || t.Leader == "" {
		return Term{Unreadable: true, version: row.Version}
	}
	t.version = row.Version
	return t
}

// HeldTerm is a term that this process leads. Its methods are not safe for
// concurrent use, except Renew.
type HeldTerm struct {
	ledger *Ledger
	Term   Term
	// Clock is the clock of this process. If it is nil, renewals hold no times. It and EarlierGrantsUntil do not
	// change once Renew has been called.
	Clock func() time.Duration
	// EarlierGrantsUntil is a time after which leaders of earlier terms extend no leases.
	EarlierGrantsUntil time.Duration
	// Renewed reports whether BeginTerm wrote the term and thereby renewed it. A term that
	// BeginTerm resumed may have begun long ago.
	Renewed bool
	// progressVersions holds the version of each job's row in progressTable.
	progressVersions map[string]int64
	// unconfirmed is a transaction without an answer: it may have been applied.
	unconfirmed *store.Tx
}

// BeginTerm begins the term after prev, if prev is still the current one. renewal is the result
// of RenewalVersion by which prev's leader has failed to renew it, or NoLeader.
// If this process began prev itself and did not receive the answer, it resumes prev. It returns
// ErrDeposed if another process has begun a later term, and ErrRenewed if prev has been renewed
// since.
func (l *Ledger) BeginTerm(ctx context.Context, prev Term, renewal int64, leader, process string) (*HeldTerm, error) {
	if prev.Process == process && !prev.Resigned {
		return &HeldTerm{ledger: l, Term: prev, progressVersions: map[string]int64{}}, nil
	}
	t := Term{Number: prev.Number + 1, Leader: leader, Process: process}
	value, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode term: %w", err)
	}
	k := mainKey(termTable, leaderKey)
	renewalKey := mainKey(renewalTable, leaderKey)
	tx := store.Tx{
		Expect: []store.Expect{{Key: k, Version: prev.version}},
		Writes: []store.Write{{Key: k, Value: value}, {Key: renewalKey, Value: []byte(process)}},
	}
	if renewal != NoLeader {
		tx.Expect = append(tx.Expect, store.Expect{Key: renewalKey, Version: renewal})
	}
	t.version, err = l.store.Apply(ctx, tx)
	conflict := (*store.ConflictError)(nil)
	if errors.As(err, &conflict) {
		row, ok := conflict.Row(termTable, leaderKey)
		if ok && row.Version == prev.version {
			return nil, fmt.Errorf("%w: %w", ErrRenewed, err)
		}
		if !ok || !bytes.Equal(row.Value, value) {
			return nil, fmt.Errorf("%w: %w", ErrDeposed, err)
		}
		t.version = row.Version
	} else if err != nil {
		return nil, fmt.Errorf("begin term %d: %w", t.Number, err)
	}
	return &HeldTerm{ledger: l, Term: t, Renewed: err == nil, progressVersions: map[string]int64{}}, nil
}

func (h *HeldTerm) expectTerm() store.Expect {
	return store.Expect{Key: mainKey(termTable, leaderKey), Version: h.Term.version}
}

// termUnchanged reports whether the term's row has its expected version, so that the conflict
// is about another row.
func (h *HeldTerm) termUnchanged(conflict *store.ConflictError) bool {
	row, ok := conflict.Row(termTable, leaderKey)
	return ok && row.Version == h.Term.version
}

// Renew writes the renewal row, by which the other entries detect that the leader is alive.
func (h *HeldTerm) Renew(ctx context.Context) error {
	return conflictAsDeposed(h.ledger.apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm()},
		Writes: []store.Write{h.renewal()},
	}))
}

// Resign marks the term as resigned, so that another entry can take over at once, and renews it.
func (h *HeldTerm) Resign(ctx context.Context) error {
	t := h.Term
	t.Resigned = true
	value, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("encode term: %w", err)
	}
	return h.ledger.apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm()},
		Writes: []store.Write{{Key: mainKey(termTable, leaderKey), Value: value}, h.renewal()},
	})
}

func (l *Ledger) apply(ctx context.Context, tx store.Tx) error {
	_, err := l.store.Apply(ctx, tx)
	return err
}

func conflictAsDeposed(err error) error {
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return fmt.Errorf("%w: %w", ErrDeposed, err)
	}
	return err
}

func (h *HeldTerm) applyProgress(ctx context.Context, tx store.Tx) error {
	version, err := h.ledger.store.Apply(ctx, tx)
	conflict := (*store.ConflictError)(nil)
	switch {
	case err == nil:
		h.unconfirmed = nil
		for _, w := range tx.Writes {
			h.progressVersions[w.Key.Key] = version
		}
		return nil
	case errors.As(err, &conflict):
		return h.handleConflict(tx, conflict)
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrRejected):
		return err
	}
	h.unconfirmed = &tx
	return err
}

// handleConflict returns nil if the rows have the values that tx writes. This means that an
// earlier attempt of tx was applied, since no other process writes these rows during the term.
func (h *HeldTerm) handleConflict(tx store.Tx, conflict *store.ConflictError) error {
	if !h.termUnchanged(conflict) {
		return fmt.Errorf("%w: %w", ErrDeposed, conflict)
	}
	h.unconfirmed = nil
	applied := true
	for _, w := range tx.Writes {
		row, ok := conflict.Row(w.Key.Table, w.Key.Key)
		if !ok {
			delete(h.progressVersions, w.Key.Key)
			applied = false
			continue
		}
		h.progressVersions[w.Key.Key] = row.Version
		applied = applied && bytes.Equal(row.Value, w.Value)
	}
	if !applied {
		return fmt.Errorf("progress rows have changed: %w", conflict)
	}
	return nil
}

// maxDeleteJobs bounds the jobs that DeleteJobs deletes in one transaction of a part.
const maxDeleteJobs = (store.MaxTxEntries - 1) / 2

// CompactJobs replaces the values of jobs by a short marker. The end of each job must be
// stored already.
func (h *HeldTerm) CompactJobs(ctx context.Context, ids []string) error {
	parts := map[string][]store.Write{}
	for _, id := range ids {
		parts[jobPart(id)] = append(parts[jobPart(id)], store.Write{Key: jobKey(jobTable, id), Value: compactedJob})
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

// DeleteJobs deletes jobs that ended long ago, with their cancels and progress. Progress is
// deleted last: a job without progress would be run again. The rows of jobs and cancels are
// deleted without checking the term: the end of these jobs is stored, so a deposed leader may
// delete them, too.
func (h *HeldTerm) DeleteJobs(ctx context.Context, ids []string) error {
	for len(ids) > 0 {
		n := min(len(ids), maxDeleteJobs)
		parts := map[string]*store.Tx{}
		progress := store.Tx{Expect: []store.Expect{h.expectTerm()}}
		for _, id := range ids[:n] {
			tx := parts[jobPart(id)]
			if tx == nil {
				tx = &store.Tx{}
				parts[jobPart(id)] = tx
			}
			tx.Remove = append(tx.Remove, jobKey(jobTable, id), jobKey(cancelTable, id))
			progress.Remove = append(progress.Remove, mainKey(progressTable, id))
			delete(h.progressVersions, id)
		}
		for _, tx := range parts {
			if err := h.ledger.apply(ctx, *tx); err != nil {
				return err
			}
		}
		if err := conflictAsDeposed(h.ledger.apply(ctx, progress)); err != nil {
			return err
		}
		ids = ids[n:]
	}
	return nil
}

// FollowTerm waits up to the given time for another term to begin or the current one to be
// resigned. version is the version to continue from.
func (l *Ledger) FollowTerm(
	ctx context.Context, after int64, wait time.Duration,
) (changed bool, version int64, err error) {
	rows, version, err := l.store.Feed(ctx, store.FeedRequest{Table: termTable, After: after, Wait: wait})
	changed = slices.ContainsFunc(rows, func(row store.Row) bool { return row.Part == mainPart && row.Key == leaderKey })
	return changed, version, err
}
