package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Methods of a TableCall.
const (
	methodGet    = "get"
	methodList   = "list"
	methodCommit = "commit"
)

// tableTimeout is the timeout of a relayed call.
const tableTimeout = 10 * time.Second

type getRequest struct {
	Key string `json:"key"`
}

type listRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type commitResult struct {
	Version int64 `json:"version"`
}

// tableErrorsByName maps the values of TableResult.error to errors of platform.Table.
var tableErrorsByName = map[string]error{
	"not-found":   platform.ErrNotFound,
	"conflict":    platform.ErrConflict,
	"unavailable": platform.ErrUnavailable,
	"invalid":     platform.ErrInvalid,
}

// unknownError is the value of TableResult.error for every other error.
const unknownError = "unknown"

func tableErrorName(err error) string {
	for name, sentinel := range tableErrorsByName {
		if errors.Is(err, sentinel) {
			return name
		}
	}
	return unknownError
}

// errNotTableCall means that an agent opened a stream for another purpose.
var errNotTableCall = errors.New("stream is not a table call")

// serveTableCall runs one relayed call. With a nil table it replies unavailable.
func serveTableCall(ctx context.Context, stream wire.Stream, table platform.Table) error {
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := &wirepb.Hello{}
	if err := stream.Recv(hello); err != nil {
		return fmt.Errorf("receive table call: %w", err)
	}
	call := hello.GetTable()
	if call == nil {
		return errNotTableCall
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result := runTableCall(callCtx, call, table)
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	return stream.Send(result)
}

func runTableCall(ctx context.Context, call *wirepb.TableCall, table platform.Table) *wirepb.TableResult {
	if table == nil {
		return tableFailure(platform.ErrUnavailable)
	}
	value, err := dispatchTableCall(ctx, call, table)
	if err != nil {
		return tableFailure(err)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return tableFailure(err)
	}
	return &wirepb.TableResult{ResultJson: data}
}

func dispatchTableCall(ctx context.Context, call *wirepb.TableCall, table platform.Table) (any, error) {
	switch call.GetMethod() {
	case methodGet:
		req, err := decodeCall[getRequest](call)
		if err != nil {
			return nil, err
		}
		return table.Get(ctx, req.Key)
	case methodList:
		req, err := decodeCall[listRequest](call)
		if err != nil {
			return nil, err
		}
		return table.List(ctx, req.Prefix, req.After, req.Limit)
	case methodCommit:
		tx, err := decodeCall[platform.Tx](call)
		if err != nil {
			return nil, err
		}
		version, err := table.Commit(ctx, tx)
		return commitResult{Version: version}, err
	}
	return nil, fmt.Errorf("%w: method %q", platform.ErrInvalid, call.GetMethod())
}

func decodeCall[T any](call *wirepb.TableCall) (T, error) {
	var req T
	if err := json.Unmarshal(call.GetRequestJson(), &req); err != nil {
		return req, fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	return req, nil
}

func tableFailure(err error) *wirepb.TableResult {
	return &wirepb.TableResult{Error: tableErrorName(err), Detail: err.Error()}
}

// relayedTable is the platform's table, with calls relayed by an entry.
type relayedTable struct{ agent *Agent }

// Get implements platform.Table.
func (t relayedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := t.call(ctx, methodGet, getRequest{Key: key}, &row)
	return row, err
}

// List implements platform.Table.
func (t relayedTable) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	var page platform.Page
	err := t.call(ctx, methodList, listRequest{Prefix: prefix, After: after, Limit: limit}, &page)
	return page, err
}

// Commit implements platform.Table.
func (t relayedTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	var result commitResult
	err := t.call(ctx, methodCommit, tx, &result)
	return result.Version, err
}

// call relays one call. An error before anything was sent is platform.ErrUnavailable.
// If the reply is lost, the outcome of a commit is unknown.
func (t relayedTable) call(ctx context.Context, method string, request, result any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	}
	stream, err := t.agent.openStream(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	defer func() { go stream.Close() }()
	deadline := time.Now().Add(tableTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	hello := &wirepb.Hello{Kind: &wirepb.Hello_Table{Table: &wirepb.TableCall{Method: method, RequestJson: data}}}
	if err := stream.Send(hello); err != nil {
		return fmt.Errorf("relay %s: %w", method, err)
	}
	reply := &wirepb.TableResult{}
	if err := stream.Recv(reply); err != nil {
		return fmt.Errorf("relay %s: %w", method, err)
	}
	return decodeTableResult(method, reply, result)
}

func decodeTableResult(method string, reply *wirepb.TableResult, result any) error {
	if name := reply.GetError(); name != "" {
		if sentinel, ok := tableErrorsByName[name]; ok {
			return fmt.Errorf("relay %s: %w: %s", method, sentinel, reply.GetDetail())
		}
		return fmt.Errorf("relay %s: %s", method, reply.GetDetail())
	}
	if err := json.Unmarshal(reply.GetResultJson(), result); err != nil {
		return fmt.Errorf("relay %s: decode: %w", method, err)
	}
	return nil
}
