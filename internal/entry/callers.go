// Package entry serves the callers' HTTP API of an entry: service requests and jobs. It
// validates and limits the requests; it makes no scheduling decisions.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"golang.org/x/time/rate"

	"bamboowood/internal/control"
	"bamboowood/internal/ingress"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// Headers of the callers' API.
const (
	HeaderWait       = "Bamboowood-Wait"
	HeaderIdempotent = "Bamboowood-Idempotent"
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = "Bamboowood-Request-Id"
	HeaderOutcome    = "Bamboowood-Outcome"
)

// MaxKeyBytes is the maximum length of an Idempotency-Key.
const MaxKeyBytes = 255

// processingFactor is the memory, per byte of a body, of what is made of it: of a request the encoded
// message, its copy in the session and an answer of the same size, of a job its decoded form and what is
// sent to the table.
const processingFactor = 7

// Dispatcher executes service requests. The errors of Do are *verdict.Error.
type Dispatcher interface {
	Do(ctx context.Context, req structs.Request) (structs.Answer, error)
}

// Jobs submits, cancels and reads jobs, which are tasks in package structs.
type Jobs interface {
	SubmitTask(ctx context.Context, id string, spec structs.TaskSpec) (structs.Task, error)
	CancelTask(ctx context.Context, id, author string) (structs.Task, error)
	GetTask(ctx context.Context, id string) (structs.Task, error)
}

// Limits bounds the resources of an entry that callers may use.
type Limits struct {
	// MaxBodyBytes limits one body, Bodies the sum of those in memory and of what is made of them.
	MaxBodyBytes int64
	Bodies       *ingress.Gate
	// RequestsPerSecond and Burst limit the rate of accepted requests.
	RequestsPerSecond float64
	Burst             int
}

// Callers is the HTTP handler of the callers' listener.
type Callers struct {
	control    *control.Holder
	dispatcher Dispatcher
	jobs       Jobs
	limits     Limits
	rate       *rate.Limiter
	echo       *echo.Echo
}

// NewCallers returns the handler of the callers' listener.
func NewCallers(holder *control.Holder, dispatcher Dispatcher, jobs Jobs, limits Limits) *Callers {
	c := &Callers{
		control: holder, dispatcher: dispatcher, jobs: jobs, limits: limits,
		rate: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), limits.Burst),
		echo: echo.New(),
	}
	c.echo.HTTPErrorHandler = writeError
	c.echo.Use(c.limitRate)
	c.echo.POST("/v1/services/:service/requests", c.request)
	c.echo.POST("/v1/jobs", c.submit)
	c.echo.GET("/v1/jobs/:id", c.show)
	c.echo.DELETE("/v1/jobs/:id", c.cancel)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.echo.ServeHTTP(w, r) }

func (c *Callers) limitRate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx *echo.Context) error {
		if !c.rate.Allow() {
			return verdict.New(verdict.NotRun, verdict.RateLimited, nil)
		}
		return next(ctx)
	}
}

// request serves POST /v1/services/{service}/requests.
func (c *Callers) request(ctx *echo.Context) error {
	received := time.Now()
	id := uuid.NewString()
	ctx.Response().Header().Set(HeaderRequestID, id)
	req, err := c.parseRequest(ctx, id, received)
	if err != nil {
		return err
	}
	body, err := c.readBody(ctx)
	if err != nil {
		return err
	}
	defer body.Release()
	req.Body = body.Data
	answer, err := c.dispatcher.Do(ctx.Request().Context(), req)
	if err != nil {
		return err
	}
	// The request has run, so its answer is sent even if there is no memory for it. Charging it has
	// incomplete bodies closed.
	_ = body.Charge(int64(len(answer.Body)))
	return c.writeAnswer(ctx, answer)
}

// parseRequest validates the path and headers, and returns the request without its
// body.
func (c *Callers) parseRequest(ctx *echo.Context, id string, received time.Time) (structs.Request, error) {
	name := ctx.Param("service")
	config := c.control.Load()
	if config.Version == 0 {
		return structs.Request{}, verdict.New(verdict.NotRun, verdict.NoConfiguration, nil)
	}
	service, ok := config.Services[name]
	if !ok {
		return structs.Request{}, verdict.New(verdict.NotRun, verdict.UnknownService, fmt.Errorf("no service %q", name))
	}
	header := ctx.Request().Header
	wait, err := parseWait(header.Get(HeaderWait), time.Duration(service.WaitMS)*time.Millisecond)
	if err != nil {
		return structs.Request{}, invalidRequest(err)
	}
	idempotent, err := parseIdempotent(header.Get(HeaderIdempotent), service.Idempotent)
	if err != nil {
		return structs.Request{}, invalidRequest(err)
	}
	key := header.Get(HeaderKey)
	if len(key) > MaxKeyBytes {
		return structs.Request{}, invalidRequest(fmt.Errorf("%s is %d bytes long, at most %d are allowed", HeaderKey, len(key), MaxKeyBytes))
	}
	return structs.Request{
		ID: id, Service: name, ContentType: header.Get(echo.HeaderContentType),
		Deadline: received.Add(wait), Idempotent: idempotent, Key: key,
	}, nil
}

// parseWait returns the wait of a request; the header may only shorten the agreed
// one.
func parseWait(text string, agreed time.Duration) (time.Duration, error) {
	if text == "" {
		return agreed, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 {
		return 0, fmt.Errorf("%s: %q is not a positive duration such as \"300ms\"", HeaderWait, text)
	}
	return min(wait, agreed), nil
}

func parseIdempotent(text string, byDefault bool) (bool, error) {
	if text == "" {
		return byDefault, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("%s: %q is neither \"true\" nor \"false\"", HeaderIdempotent, text)
	}
	return v, nil
}

// readBody reads the complete body within the limits, and charges for what is made of it.
func (c *Callers) readBody(ctx *echo.Context) (*ingress.Body, error) {
	limit := c.limits.MaxBodyBytes
	body, err := c.limits.Bodies.Read(ctx.Response(), ctx.Request(), limit)
	if err == nil {
		if err = body.Charge(processingFactor * int64(len(body.Data))); err != nil {
			body.Release()
		}
	}
	var maxBytesErr *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &maxBytesErr):
		return nil, verdict.New(verdict.NotRun, verdict.BodyTooLarge, fmt.Errorf("at most %d bytes are allowed", limit))
	case errors.Is(err, ingress.ErrMemory):
		return nil, verdict.New(verdict.NotRun, verdict.BodyMemoryExhausted, err)
	}
	return nil, verdict.New(verdict.NotRun, verdict.BodyIncomplete, err)
}

// writeAnswer sends a complete answer. The connection bounds the time in which the caller has to read
// it; no slot is in use meanwhile.
func (c *Callers) writeAnswer(ctx *echo.Context, a structs.Answer) error {
	w := ctx.Response()
	w.Header().Set(HeaderOutcome, verdict.Ran.String())
	w.Header().Set(echo.HeaderContentLength, strconv.Itoa(len(a.Body)))
	return ctx.Blob(a.Status, a.ContentType, a.Body)
}

func invalidRequest(err error) error { return verdict.New(verdict.NotRun, verdict.InvalidRequest, err) }
