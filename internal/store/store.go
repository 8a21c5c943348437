// Package store is the interface to the platform's transactional tables, as far
// as the product needs them.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. An error that wraps none of them leaves open whether the
// call was carried out, or will be later.
var (
	// ErrRefused: the store did nothing (outage, rate limit).
	ErrRefused = errors.New("store refused the call")
	// ErrCompacted: the history that a Feed asked for is gone; read whole tables.
	ErrCompacted = errors.New("store has dropped that history")
	// ErrTooLarge: the answer has more bytes than were asked for.
	ErrTooLarge = errors.New("answer of the store is too large")
)

// ConflictError says that a transaction was not applied, since a row did not
// have the expected version. Rows are the current ones of all expected keys;
// keys without a row are left out.
type ConflictError struct{ Rows []Row }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row version conflict (%d of the expected rows exist)", len(e.Rows))
}

// Row returns the current row of a key.
func (e *ConflictError) Row(table, key string) (Row, bool) {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r, true
		}
	}
	return Row{}, false
}

// Key names a row.
type Key struct{ Table, Part, Key string }

// Row is a row with the version of its last change. Deleted is set only in a
// Feed.
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

// Tx is applied whole or not at all. All keys are in one part.
type Tx struct {
	Expect []Expect
	Writes []Write
	Remove []Key
}

// MaxTxEntries bounds the entries of a Tx of all three kinds together; it is the
// platform's limit.
const MaxTxEntries = 100

// Range is a query for rows of one part of a table.
type Range struct {
	Table, Part string
	// From is the first key, To the first key beyond; empty means no bound.
	From, To string
}

// Changes is a query for the rows of a table that changed after a version.
type Changes struct {
	Table string
	After int64
	// Wait bounds how long the store waits for a change.
	Wait time.Duration
	// MaxBytes bounds the answer, as it is sent; 0 means the client's own bound.
	MaxBytes int64
}

// Page is the beginning of a range.
type Page struct {
	// Rows are in order of their keys.
	Rows []Row
	// More says that the range has further rows.
	More bool
	// Version is one from which Feed continues without a gap.
	Version int64
}

// Store is the platform's tables. Calls are bounded by ctx.
type Store interface {
	// Apply returns the version that the transaction gave its rows.
	Apply(ctx context.Context, tx Tx) (version int64, err error)
	// Read returns the first rows of the range, at most limit of them and no more than
	// the store gives at once.
	Read(ctx context.Context, r Range, limit int) (Page, error)
	// Feed returns the changes, as soon as there is one or the wait has passed, and the
	// version to continue from. A row that changed more than once comes as often.
	Feed(ctx context.Context, c Changes) (rows []Row, version int64, err error)
}
