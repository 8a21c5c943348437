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

// claims ensures that requests with the same Idempotency-Key run at most once
// across all entries. A claim is a row that is created before the first try. It is
// never taken over, because an entry that failed while it owned a claim may have
// run the request.
type claims struct {
	opts     *Options
	table    platform.Table
	inFlight *inFlightGroup
}

// claimRef identifies the claim that one request created: the row's key and the id
// of the transaction that wrote it. Request ids may repeat; transaction ids do not.
type claimRef struct{ key, tx string }

// runOnce runs the request if its key has no claim, and otherwise returns the
// recorded answer or an error.
func (cl *claims) runOnce(ctx context.Context, req structs.Request, run func() (structs.Answer, *verdict.Error)) (structs.Answer, *verdict.Error) {
	key := state.ClaimKey(req.Service, req.Key)
	claim := structs.Claim{RequestID: req.ID, BodyHash: bodyHash(req.Body), State: structs.ClaimRunning}
	tx := state.NewTx()
	tx.Put(key, 0, claim)
	ref := claimRef{key: key, tx: tx.ID}
	switch err := cl.create(ctx, tx); {
	case errors.Is(err, platform.ErrConflict):
		return cl.waitForResult(ctx, key, req, claim.BodyHash)
	case errors.Is(err, state.ErrOutcomeUnknown):
		// The row may have been written. The request has not run, so delete the row.
		cl.background(func(ctx context.Context) { cl.recordWithRetry(ctx, ref, nil) })
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, err)
	case err != nil:
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.ClaimUnavailable, err)
	}
	answer, err := run()
	cl.recordOutcome(ref, claim, answer, err)
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

// Bounds of the interval at which a running claim is polled.
const (
	minClaimPoll = 10 * time.Millisecond
	maxClaimPoll = 100 * time.Millisecond
)

// waitForResult returns the recorded result of the request that owns the key's
// claim. While that request runs, waitForResult polls the claim until the deadline
// of req.
func (cl *claims) waitForResult(ctx context.Context, key string, req structs.Request, hash string) (structs.Answer, *verdict.Error) {
	for pause := minClaimPoll; ; pause = min(2*pause, maxClaimPoll) {
		answer, err := cl.readResult(ctx, key, req, hash)
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

// readResult reads the key's claim once and returns the recorded result.
func (cl *claims) readResult(ctx context.Context, key string, req structs.Request, hash string) (structs.Answer, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, cl.opts.ClaimTimeout)
	defer cancel()
	row, err := state.Get[structs.Claim](ctx, cl.table, key)
	switch claim := row.Value; {
	case err != nil || !row.Exists():
		// The claim existed when the create conflicted with it, so its owner may
		// have run the request.
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ClaimUnavailable, err)
	case claim.BodyHash != hash:
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.KeyReused, nil)
	case claim.State == structs.ClaimDone && claim.Answer != nil:
		answer := *claim.Answer
		answer.RequestID = req.ID
		return answer, nil
	case claim.State == structs.ClaimRunning:
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ClaimRunning, nil)
	}
	return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ClaimUnconfirmed, nil)
}

// recordOutcome records the result of the request in its claim. A proven NotRun
// deletes the claim before the caller gets the error, so that a repeat can run.
// Other results are recorded in the background, and the caller does not wait for
// the write.
func (cl *claims) recordOutcome(ref claimRef, claim structs.Claim, answer structs.Answer, err *verdict.Error) {
	if err != nil && err.Outcome == verdict.NotRun {
		ctx, cancel := context.WithTimeout(context.Background(), cl.opts.ClaimTimeout)
		defer cancel()
		if cl.record(ctx, ref, nil) != nil {
			cl.background(func(ctx context.Context) { cl.recordWithRetry(ctx, ref, nil) })
		}
		return
	}
	done := claim
	done.State, done.Answer = structs.ClaimDone, &answer
	if err != nil {
		done.State, done.Answer = structs.ClaimUnconfirmed, nil
	}
	cl.background(func(ctx context.Context) { cl.recordWithRetry(ctx, ref, &done) })
}

// background runs f in a goroutine for at most SettleTimeout. Dispatcher.Drain waits
// for it.
func (cl *claims) background(f func(ctx context.Context)) {
	cl.inFlight.enterNested()
	go func() {
		defer cl.inFlight.leave()
		ctx, cancel := context.WithTimeout(context.Background(), cl.opts.SettleTimeout)
		defer cancel()
		f(ctx)
	}()
}

// recordWithRetry calls record until it succeeds or ctx ends. A result that could not be
// recorded is counted as a refusal.
func (cl *claims) recordWithRetry(ctx context.Context, ref claimRef, next *structs.Claim) {
	for cl.record(ctx, ref, next) != nil {
		select {
		case <-ctx.Done():
			verdict.Count(verdict.Refusal, verdict.ClaimUnconfirmed)
			return
		case <-time.After(cl.opts.SettleBackoff):
		}
	}
}

// record replaces the claim by next, or deletes it if next is nil. It leaves a row
// alone that was written by another transaction than ref's.
func (cl *claims) record(ctx context.Context, ref claimRef, next *structs.Claim) error {
	row, err := state.Get[structs.Claim](ctx, cl.table, ref.key)
	if err != nil {
		return fmt.Errorf("record claim: %w", err)
	}
	if !row.Exists() || row.TxID != ref.tx {
		return nil
	}
	tx := state.NewTx()
	if next == nil {
		tx.Delete(ref.key, row.Version)
	} else {
		tx.Put(ref.key, row.Version, next)
	}
	if err := state.Commit(ctx, cl.table, tx); err != nil {
		return fmt.Errorf("record claim: %w", err)
	}
	return nil
}
