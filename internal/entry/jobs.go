package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/base32"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// JobRequest is the body of POST /v1/jobs. Missing fields get the defaults of the
// kind called Name.
type JobRequest struct {
	Name       string             `json:"name"`
	Kind       structs.TaskKind   `json:"kind"`
	Team       string             `json:"team"`
	Urgent     bool               `json:"urgent"`
	Declared   *structs.Resources `json:"declared"`
	DurationMS int64              `json:"duration_ms"`
	MaxGapMS   int64              `json:"max_gap_ms"`
	Payload    []byte             `json:"payload"`
}

// spec returns the task's specification with the defaults of its kind.
func (j JobRequest) spec(config *structs.Config) structs.TaskSpec {
	s := structs.TaskSpec{
		Name: j.Name, Kind: j.Kind, Team: j.Team, DurationMS: j.DurationMS, MaxGapMS: j.MaxGapMS, Payload: j.Payload,
	}
	if j.Urgent {
		s.Priority = structs.PriorityUrgent
	}
	if j.Declared != nil {
		s.Declared = *j.Declared
	}
	kind, ok := config.Kinds[j.Name]
	if !ok {
		return s
	}
	return kind.ApplyDefaults(s)
}

// submit serves POST /v1/jobs. With an Idempotency-Key, a repeated request returns
// the job that the first one created.
func (c *Callers) submit(ctx *echo.Context) error {
	body, err := c.readBody(ctx)
	if err != nil {
		return err
	}
	defer body.Release()
	var job JobRequest
	decoder := json.NewDecoder(bytes.NewReader(body.Data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return invalidRequest(fmt.Errorf("body: %w", err))
	}
	// Without a key the job gets a new id, so an unavailable table proves that
	// nothing was submitted.
	id := ""
	if key := ctx.Request().Header.Get(HeaderKey); key != "" {
		if len(key) > MaxKeyBytes {
			return invalidRequest(fmt.Errorf("%s is %d bytes long, at most %d are allowed", HeaderKey, len(key), MaxKeyBytes))
		}
		sum := sha256.Sum256([]byte(key))
		id = jobID(sum[:])
	}
	if id != "" {
		ctx.Response().Header().Set(HeaderRequestID, id)
	}
	task, err := c.jobs.SubmitTask(ctx.Request().Context(), id, job.spec(c.control.Load()))
	if err != nil {
		return jobError(err)
	}
	ctx.Response().Header().Set(HeaderRequestID, task.ID)
	ctx.Response().Header().Set(echo.HeaderLocation, "/v1/jobs/"+task.ID)
	return ctx.JSON(http.StatusCreated, task)
}

// idBytes is the number of bytes in a job's id: 80 bits, so that two keys do not
// collide.
const idBytes = 10

// jobID returns "job-" followed by 16 letters and digits derived from seed.
func jobID(seed []byte) string {
	return "job-" + strings.ToLower(base32.StdEncoding.EncodeToString(seed[:idBytes]))
}

// show serves GET /v1/jobs/{id}.
func (c *Callers) show(ctx *echo.Context) error {
	task, err := c.jobs.GetTask(ctx.Request().Context(), ctx.Param("id"))
	if err != nil {
		return jobError(err)
	}
	return ctx.JSON(http.StatusOK, task)
}

// cancel serves DELETE /v1/jobs/{id}.
func (c *Callers) cancel(ctx *echo.Context) error {
	task, err := c.jobs.CancelTask(ctx.Request().Context(), ctx.Param("id"), "caller")
	if err != nil {
		return jobError(err)
	}
	return ctx.JSON(http.StatusOK, task)
}

// jobError converts the error of a job command to a *verdict.Error whose Outcome
// states whether the command may have taken effect.
func jobError(err error) error {
	var v *verdict.Error
	switch {
	case errors.As(err, &v):
		return err
	case errors.Is(err, state.ErrOutcomeUnknown):
		return verdict.New(verdict.MayHaveRun, verdict.TableUnavailable, err)
	case errors.Is(err, platform.ErrNotFound):
		return verdict.New(verdict.NotRun, verdict.UnknownJob, err)
	case errors.Is(err, platform.ErrUnavailable):
		return verdict.New(verdict.NotRun, verdict.TableUnavailable, err)
	}
	return verdict.New(verdict.NotRun, verdict.JobRefused, err)
}
