package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"bamboowood/internal/platform"
)

// FaultsPath takes a JSON object that maps operations to Faults and replaces all
// faults of the stand-in.
const FaultsPath = "/faults"

// TableHandler serves t by the platform's HTTP protocol, with its counts at
// GET /counts.
func TableHandler(t *Table) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.RowsPath+"/{key}", func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.PathValue("key"))
		answer(w, row, err)
	})
	mux.HandleFunc("GET "+platform.RowsPath, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil {
			answer(w, nil, fmt.Errorf("%w: limit: %w", platform.ErrInvalid, err))
			return
		}
		page, err := t.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
		answer(w, page, err)
	})
	mux.HandleFunc("POST "+platform.TransactionsPath, func(w http.ResponseWriter, r *http.Request) {
		tx, ok := decode[platform.Tx](w, r)
		if !ok {
			return
		}
		version, err := t.Commit(r.Context(), tx)
		answer(w, platform.CommitResult{Version: version}, err)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { answer(w, t.Counts(), nil) })
	return withFaults(mux, t.faults)
}

// ObjectsHandler serves o by the platform's HTTP protocol.
func ObjectsHandler(o *Objects) http.Handler {
	mux := http.NewServeMux()
	path := platform.ObjectsPath + "/{key}"
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		data, err := readBody(r)
		if err == nil {
			err = o.Put(r.Context(), r.PathValue("key"), data)
		}
		answer(w, struct{}{}, err)
	})
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		data, err := o.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			answer(w, nil, err)
			return
		}
		write(w, http.StatusOK, "application/octet-stream", data)
	})
	mux.HandleFunc("DELETE "+path, func(w http.ResponseWriter, r *http.Request) {
		answer(w, struct{}{}, o.Delete(r.Context(), r.PathValue("key")))
	})
	return withFaults(mux, o.faults)
}

// WorkerHandler serves worker by the platform's HTTP protocol. POST
// /behaviours/{name} sets a Behaviour.
func WorkerHandler(worker *Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+platform.TasksPath+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		start, ok := decode[platform.TaskStart](w, r)
		if !ok {
			return
		}
		start.ID = r.PathValue("id")
		answer(w, struct{}{}, worker.Start(r.Context(), start))
	})
	mux.HandleFunc("GET "+platform.TasksPath, func(w http.ResponseWriter, r *http.Request) {
		statuses, err := worker.List(r.Context())
		answer(w, statuses, err)
	})
	mux.HandleFunc("POST "+platform.LeasesPath, func(w http.ResponseWriter, r *http.Request) {
		extension, ok := decode[platform.LeaseExtension](w, r)
		if !ok {
			return
		}
		lost, err := worker.Extend(r.Context(), extension.Fences, extension.Lease)
		answer(w, platform.LeaseResult{Lost: lost}, err)
	})
	mux.HandleFunc("POST "+platform.TasksPath+"/{id}/{order}", func(w http.ResponseWriter, r *http.Request) {
		order, ok := decode[platform.TaskRequest](w, r)
		if !ok {
			return
		}
		result, err := worker.order(r, order)
		answer(w, result, err)
	})
	mux.HandleFunc("POST /behaviours/{name}", func(w http.ResponseWriter, r *http.Request) {
		behaviour, ok := decode[Behaviour](w, r)
		if !ok {
			return
		}
		worker.SetBehaviour(r.PathValue("name"), behaviour)
		answer(w, struct{}{}, nil)
	})
	return withFaults(mux, worker.faults)
}

// order carries out POST /v1/tasks/{id}/{order}.
func (w *Worker) order(r *http.Request, order platform.TaskRequest) (any, error) {
	ctx, id := r.Context(), r.PathValue("id")
	switch name := r.PathValue("order"); name {
	case "checkpoint":
		key, err := w.Checkpoint(ctx, id, order.Fence)
		return platform.CheckpointResult{Key: key}, err
	case "throttle":
		return struct{}{}, w.Throttle(ctx, id, order.Fence, order.Share)
	case "stop":
		return struct{}{}, w.Stop(ctx, id, order.Fence)
	case "forget":
		return struct{}{}, w.Forget(ctx, id, order.Fence)
	default:
		return nil, fmt.Errorf("%w: unknown order %q", platform.ErrInvalid, name)
	}
}

// withFaults adds POST FaultsPath to next.
func withFaults(next http.Handler, faults *Faults) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("POST "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		settings, ok := decode[map[Operation]Fault](w, r)
		if !ok {
			return
		}
		faults.Clear()
		for op, fault := range settings {
			faults.Set(op, fault)
		}
		answer(w, struct{}{}, nil)
	})
	return mux
}

// decode reads a JSON body; on a failure it has answered already.
func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	data, err := readBody(r)
	if err == nil {
		err = json.Unmarshal(data, &value)
	}
	if err != nil {
		answer(w, nil, fmt.Errorf("%w: body: %w", platform.ErrInvalid, err))
		return value, false
	}
	return value, true
}

func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(data) > platform.MaxBodyBytes {
		return nil, fmt.Errorf("%w: body above %d bytes", platform.ErrInvalid, platform.MaxBodyBytes)
	}
	return data, nil
}

// answer writes result or the failure that err stands for. A lost answer cuts
// the connection.
func answer(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, errAnswerLost) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if err != nil {
		status, result = failureOf(err)
	}
	data, err := json.Marshal(result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	write(w, status, "application/json", data)
}

func failureOf(err error) (int, any) {
	status, failure := platform.FailureOf(err)
	return status, failure
}

// write sends a whole body with its length; a failed write ends the connection
// and needs no answer.
func write(w http.ResponseWriter, status int, contentType string, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
