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

// FaultsPath accepts a POST of a JSON object that maps operations to Faults. It replaces
// all faults of the stand-in.
const FaultsPath = "/faults"

// TableHandler serves t over the platform's HTTP protocol, and its Counts at
// GET /counts.
func TableHandler(t *Table) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.RowsPath+"/{key}", func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.PathValue("key"))
		respond(w, row, err)
	})
	mux.HandleFunc("GET "+platform.RowsPath, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil {
			respond(w, nil, fmt.Errorf("%w: limit: %w", platform.ErrInvalid, err))
			return
		}
		page, err := t.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
		respond(w, page, err)
	})
	mux.HandleFunc("POST "+platform.TransactionsPath, func(w http.ResponseWriter, r *http.Request) {
		tx, ok := decode[platform.Tx](w, r)
		if !ok {
			return
		}
		version, err := t.Commit(r.Context(), tx)
		respond(w, platform.CommitResult{Version: version}, err)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { respond(w, t.Counts(), nil) })
	return withFaults(mux, t.faults)
}

// ObjectsHandler serves o over the platform's HTTP protocol.
func ObjectsHandler(o *Objects) http.Handler {
	mux := http.NewServeMux()
	path := platform.ObjectsPath + "/{key}"
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		data, err := readBody(r)
		if err == nil {
			err = o.Put(r.Context(), r.PathValue("key"), data)
		}
		respond(w, struct{}{}, err)
	})
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		data, err := o.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			respond(w, nil, err)
			return
		}
		writeResponse(w, http.StatusOK, "application/octet-stream", data)
	})
	mux.HandleFunc("DELETE "+path, func(w http.ResponseWriter, r *http.Request) {
		respond(w, struct{}{}, o.Delete(r.Context(), r.PathValue("key")))
	})
	return withFaults(mux, o.faults)
}

// WorkerHandler serves worker over the platform's HTTP protocol. POST /behaviours/{name}
// sets the Behaviour of a spec name.
func WorkerHandler(worker *Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+platform.TasksPath+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		start, ok := decode[platform.TaskStart](w, r)
		if !ok {
			return
		}
		start.ID = r.PathValue("id")
		respond(w, struct{}{}, worker.Start(r.Context(), start))
	})
	mux.HandleFunc("GET "+platform.TasksPath, func(w http.ResponseWriter, r *http.Request) {
		statuses, err := worker.List(r.Context())
		respond(w, statuses, err)
	})
	mux.HandleFunc("POST "+platform.LeasesPath, func(w http.ResponseWriter, r *http.Request) {
		extension, ok := decode[platform.LeaseExtension](w, r)
		if !ok {
			return
		}
		lost, err := worker.Extend(r.Context(), extension.Fences, extension.Lease)
		respond(w, platform.LeaseResult{Lost: lost}, err)
	})
	mux.HandleFunc("POST "+platform.TasksPath+"/{id}/{order}", func(w http.ResponseWriter, r *http.Request) {
		request, ok := decode[platform.TaskRequest](w, r)
		if !ok {
			return
		}
		result, err := worker.handleTaskRequest(r, request)
		respond(w, result, err)
	})
	mux.HandleFunc("POST /behaviours/{name}", func(w http.ResponseWriter, r *http.Request) {
		behaviour, ok := decode[Behaviour](w, r)
		if !ok {
			return
		}
		worker.SetBehaviour(r.PathValue("name"), behaviour)
		respond(w, struct{}{}, nil)
	})
	return withFaults(mux, worker.faults)
}

// handleTaskRequest handles POST /v1/tasks/{id}/{order}.
func (w *Worker) handleTaskRequest(r *http.Request, request platform.TaskRequest) (any, error) {
	ctx, id := r.Context(), r.PathValue("id")
	switch action := r.PathValue("order"); action {
	case "checkpoint":
		key, err := w.Checkpoint(ctx, id, request.Fence)
		return platform.CheckpointResult{Key: key}, err
	case "throttle":
		return struct{}{}, w.Throttle(ctx, id, request.Fence, request.Share)
	case "stop":
		return struct{}{}, w.Stop(ctx, id, request.Fence)
	case "forget":
		return struct{}{}, w.Forget(ctx, id, request.Fence)
	default:
		return nil, fmt.Errorf("%w: unknown order %q", platform.ErrInvalid, action)
	}
}

// withFaults returns next with POST FaultsPath added, which replaces faults.
func withFaults(next http.Handler, faults *Faults) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("POST "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		requested, ok := decode[map[Operation]Fault](w, r)
		if !ok {
			return
		}
		faults.Clear()
		for op, fault := range requested {
			faults.Set(op, fault)
		}
		respond(w, struct{}{}, nil)
	})
	return mux
}

// decode reads a JSON body. If it returns false, it has sent the error response.
func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	data, err := readBody(r)
	if err == nil {
		err = json.Unmarshal(data, &value)
	}
	if err != nil {
		respond(w, nil, fmt.Errorf("%w: body: %w", platform.ErrInvalid, err))
		return value, false
	}
	return value, true
}

// RefuseBody responds to a request whose body was not read, and which had no effect.
func RefuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		err = fmt.Errorf("%w: %w", platform.ErrInvalid, err)
	default:
		err = fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	respond(w, nil, err)
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

// respond writes result, or the platform.Failure for a non-nil err. It aborts the
// connection without a response for errAnswerLost.
func respond(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, errResponseLost) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if err != nil {
		status, result = failureBody(err)
	}
	data, err := json.Marshal(result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, status, "application/json", data)
}

func failureBody(err error) (int, any) {
	status, failure := platform.FailureOf(err)
	return status, failure
}

// writeResponse sends data with its length. A failed write has ended the
// connection, so its error is ignored.
func writeResponse(w http.ResponseWriter, status int, contentType string, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
