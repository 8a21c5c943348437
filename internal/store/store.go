// Package store defines the interface to the platform's transactional tables.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. After an error that wraps none of them, the call may have been executed or
// may be executed later.
var (
	// ErrRefused means that the call had no effect (outage, rate limit).
	ErrRefused = errors.New("store refused the call")
	// ErrRejected means that the call is invalid: it had no effect, and will have none if it is repeated.
	ErrRejected = errors.New("store rejected the call as invalid")
	// ErrCompacted means that the history that a Feed requested has been compacted. The caller
	// must read the whole table.
	ErrCompacted = errors.New("requested history of the store has been compacted")
	// ErrTooLarge means that the answer has more bytes than the call allows.
	ErrTooLarge = errors.New("answer of the store exceeds the size limit")
)

// ConflictError is returned for a transaction that was not applied because a row did not have
// the expected version. Rows holds the current rows of all expected keys; keys without a row
// are omitted.
type ConflictError struct{ Rows []Row }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row version conflict (%d of the expected rows exist)", len(e.Rows))
}

// Row returns the current row of a key, and whether there is one.
func (e *ConflictError) Row(table, key string) (Row, bool) {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r, true
		}
	}
	return Row{}, false
}

// Key identifies a row. Part is the partition of the table: the store serializes the transactions
// of one part, and a transaction cannot span parts.
type Key struct{ Table, Part, Key string }

// Row is a row with the version of its last change. Deleted is set only in rows that a Feed
// returns.
type Row struct {
	Key     string
	Table   string
	Part    string
	Value   []byte
	Version int64
	Deleted bool
}

// Expect is a condition of a transaction; version 0 means that there is no row.
type Expect struct {
	Key     Key
	Version int64
}

// Write sets a row.
type Write struct {
	Key   Key
	Value []byte
}

// Tx is an atomic transaction. All its keys must have the same Part.
type Tx struct {
	Expect []Expect
	Writes []Write
	Remove []Key
}

// Limits of the platform.
const (
	// MaxTxEntries bounds the entries in a Tx: Expect, Writes and Remove together.
	MaxTxEntries = 100
	// MaxRowBytes bounds the value of a row.
	MaxRowBytes = 65_536
	// MaxTxValueBytes bounds the values of a Tx together. The platform allows for 1 MB in one call, in which
	// values take four thirds of their size and each entry up to some hundred bytes.
	MaxTxValueBytes = 600_000
)

// ReadRequest selects rows of one part of a table.
type ReadRequest struct {
	Table, Part string
	// From is the inclusive lower bound of the keys, To the exclusive upper bound; empty means
	// no bound.
	From, To string
}

// FeedRequest selects the rows of a table that changed after a version.
type FeedRequest struct {
	Table string
	After int64
	// Wait bounds how long the store waits for a change.
	Wait time.Duration
	// MaxBytes bounds the encoded size of the answer; 0 means the client's own limit.
	MaxBytes int64
}

// Page is the result of a Read.
type Page struct {
	// Rows are in order of their keys.
	Rows []Row
	// More reports whether the requested range has further rows.
	More bool
	// Version is a version from which Feed continues without a gap.
	Version int64
	// Time is the store's steady clock when it answered; 0 if unknown.
	Time time.Duration
}

// Store gives access to the platform's tables. Calls end when ctx does.
type Store interface {
	// Apply applies the transaction and returns the new version of the rows that it wrote.
	Apply(ctx context.Context, tx Tx) (version int64, err error)
	// Read returns the first of the requested rows, at most limit and at most the store's own
	// maximum for one answer.
	Read(ctx context.Context, r ReadRequest, limit int) (Page, error)
	// Feed waits for a change, at most for the time in c, and returns the changes and the
	// version to continue from. It returns a row once for each of its changes.
	Feed(ctx context.Context, c FeedRequest) (rows []Row, version int64, err error)
}
