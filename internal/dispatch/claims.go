package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// claims runs a request at most once by its Idempotency-Key, across entries. A
// claim is a row that is created before the first try and never taken over:
// a claim whose holder is gone says that the request may have run.
type claims struct {
	opts  *Options
	table platform.Table
	work  *inFlight
}

// holding names the claim that one request created: the row's key and the id of
// the transaction that wrote it. Request ids may repeat; transactions' do not.
type holding struct{ key, tx string }

// once runs the request if its key has no claim, and otherwise returns the
// recorded answer or a refusal.
func (cl *claims) once(ctx context.Context, req structs.Request, run func() (structs.Answer, *verdict.Error)) (structs.Answer, *verdict.Error) {
	key := state.ClaimKey(req.Service, req.Key)
	claim := structs.Claim{RequestID: req.ID, BodyHash: bodyHash(req.Body), State: structs.ClaimRunning}
	tx := state.NewTx()
	tx.Put(key, 0, claim)
	held := holding{key: key, tx: tx.ID}
	switch err := cl.create(ctx, tx); {
	case errors.Is(err, platform.ErrConflict):
		return cl.repeat(ctx, key, req, claim.BodyHash)
	case errors.Is(err, state.ErrOutcomeUnknown):
		// The row may exist without a holder: nothing has run, so take it back.
		cl.background(func(ctx context.Context) { cl.settle(ctx, held, nil) })
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, err)
	case err != nil:
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, err)
	}
	answer, err := run()
	cl.finish(held, claim, answer, err)
	return answer, err
}

func bodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (cl *claims) create(ctx context.Context, tx *state.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, cl.opts.ClaimTimeout)
	defer cancel()
	return state.Commit(ctx, cl.table, tx)
}

// Times between two looks at a running claim.
const (
	minClaimPoll = 10 * time.Millisecond
	maxClaimPoll = 100 * time.Millisecond
)

// repeat answers a request whose key has a claim. While the claim runs it waits
// for the record, as long as the agreed wait allows.
func (cl *claims) repeat(ctx context.Context, key string, req structs.Request, hash string) (structs.Answer, *verdict.Error) {
	for pause := minClaimPoll; ; pause = min(2*pause, maxClaimPoll) {
		answer, err := cl.look(ctx, key, req, hash)
		if err == nil || err.Reason != verdict.ClaimRunning || time.Until(req.Deadline) <= pause {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(pause):
		}
	}
}

// look reads the claim of a repeated request once.
func (cl *claims) look(ctx context.Context, key string, req structs.Request, hash string) (structs.Answer, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, cl.opts.ClaimTimeout)
	defer cancel()
	row, err := state.Get[structs.Claim](ctx, cl.table, key)
	switch held := row.Value; {
	case err != nil || !row.Exists():
		// A claim existed a moment ago: its holder may have run the request.
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ClaimUnavailable, err)
	case held.BodyHash != hash:
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.KeyReused, nil)
	case held.State == structs.ClaimDone && held.Answer != nil:
		answer := *held.Answer
		answer.RequestID = req.ID
		return answer, nil
	case held.State == structs.ClaimRunning:
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ClaimRunning, nil)
	}
	return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ClaimUnconfirmed, nil)
}

// finish records what came of the request. A proven NotRun frees the key before
// the caller hears of it, so that a repeat can run; the rest is recorded while
// the caller already has its answer.
func (cl *claims) finish(held holding, claim structs.Claim, answer structs.Answer, err *verdict.Error) {
	if err != nil && err.Outcome == verdict.NotRun {
		ctx, cancel := context.WithTimeout(context.Background(), cl.opts.ClaimTimeout)
		defer cancel()
		if cl.record(ctx, held, nil) != nil {
			cl.background(func(ctx context.Context) { cl.settle(ctx, held, nil) })
		}
		return
	}
	done := claim
	done.State, done.Answer = structs.ClaimDone, &answer
	if err != nil {
		done.State, done.Answer = structs.ClaimUnconfirmed, nil
	}
	cl.background(func(ctx context.Context) { cl.settle(ctx, held, &done) })
}

// background runs f, bounded in time; Drain waits for it.
func (cl *claims) background(f func(ctx context.Context)) {
	cl.work.enterMore()
	go func() {
		defer cl.work.leave()
		ctx, cancel := context.WithTimeout(context.Background(), cl.opts.SettleTimeout)
		defer cancel()
		f(ctx)
	}()
}

// settle repeats record until it succeeds or ctx ends.
func (cl *claims) settle(ctx context.Context, held holding, next *structs.Claim) {
	for cl.record(ctx, held, next) != nil {
		select {
		case <-ctx.Done():
			verdict.Count(verdict.Refusal, verdict.ClaimUnconfirmed)
			return
		case <-time.After(cl.opts.SettleBackoff):
		}
	}
}

// record replaces the claim that held names by next, or deletes it if next is
// nil. A row that is not held's any more is left alone.
func (cl *claims) record(ctx context.Context, held holding, next *structs.Claim) error {
	row, err := state.Get[structs.Claim](ctx, cl.table, held.key)
	if err != nil {
		return fmt.Errorf("record claim: %w", err)
	}
	if !row.Exists() || row.TxID != held.tx {
		return nil
	}
	tx := state.NewTx()
	if next == nil {
		tx.Delete(held.key, row.Version)
	} else {
		tx.Put(held.key, row.Version, next)
	}
	if err := state.Commit(ctx, cl.table, tx); err != nil {
		return fmt.Errorf("record claim: %w", err)
	}
	return nil
}
