package standin

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RequestIDHeader names the request that an upstream answers.
const RequestIDHeader = "Bamboowood-Request-Id"

// Distribution is the shape of a Runner's service times.
type Distribution string

// Distributions with the same mean.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// Defaults of RunnerOptions.
const (
	defaultServiceTime = 20 * time.Millisecond
	lognormalSigma     = 1.0
	// InterferenceFactor is the usual slowdown of a disturbed runner.
	InterferenceFactor = 5.0
)

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	// Mean service time when undisturbed; 0 means 20 ms.
	Mean time.Duration
	// Distribution defaults to Exponential.
	Distribution Distribution
	Seed         uint64
}

// RunnerFault is what a Runner does wrong with one request.
type RunnerFault string

// Faults of a Runner. All but RunnerFail take the usual service time first.
const (
	RunnerFail      RunnerFault = "fail"  // answers 500 at once, without running
	RunnerSlow      RunnerFault = "slow"  // takes slowFactor times as long
	RunnerTruncate  RunnerFault = "cut"   // stops in the middle of the answer
	RunnerDuplicate RunnerFault = "twice" // sends the whole answer twice
	RunnerWrongID   RunnerFault = "cross" // answers with another request's id
	RunnerHang      RunnerFault = "hang"  // never answers
)

const slowFactor = 20

// Runner is an upstream of counter services: POST /{service}. It answers with
// the request's id and the exact length, and counts runs per request id.
type Runner struct {
	options RunnerOptions
	mux     *http.ServeMux

	mu          sync.Mutex
	random      *rand.Rand
	disturbance float64
	fault       RunnerFault
	share       float64 // of requests with the fault
	runs        map[string]int
	total       int
	inFlight    int
	maxInFlight int
}

// NewRunner returns an undisturbed Runner.
func NewRunner(options RunnerOptions) *Runner {
	if options.Mean <= 0 {
		options.Mean = defaultServiceTime
	}
	if options.Distribution == "" {
		options.Distribution = Exponential
	}
	r := &Runner{
		options: options, mux: http.NewServeMux(), random: rand.New(rand.NewPCG(options.Seed, 0)), disturbance: 1,
		runs: map[string]int{},
	}
	r.mux.HandleFunc("POST "+FaultsPath, r.serveFaults)
	r.mux.HandleFunc("GET /runs/{id}", r.serveRuns)
	r.mux.HandleFunc("POST /{service}", r.serve)
	return r
}

// SetSlowdown multiplies later service times by factor; 1 is undisturbed.
func (r *Runner) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbance = factor
}

// SetFault makes a share (0 to 1) of later requests go wrong; share 0 ends it.
func (r *Runner) SetFault(fault RunnerFault, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.share = fault, share
}

// Runs returns how often the request with this id has been run.
func (r *Runner) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Repeated returns the ids that were run more than once.
func (r *Runner) Repeated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, n := range r.runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Total returns the number of runs of all requests.
func (r *Runner) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// MaxInFlight returns the greatest number of requests served at once so far.
func (r *Runner) MaxInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxInFlight
}

// ServeHTTP implements http.Handler. POST /faults?fault=cut&share=0.5 and POST
// /faults?disturbance=5 set the switches; GET /runs/{id} returns the count.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

func (r *Runner) serveRuns(w http.ResponseWriter, req *http.Request) {
	write(w, http.StatusOK, "text/plain", []byte(strconv.Itoa(r.Runs(req.PathValue("id")))))
}

func (r *Runner) serveFaults(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	if text := query.Get("disturbance"); text != "" {
		factor, err := strconv.ParseFloat(text, 64)
		if err != nil || factor <= 0 {
			http.Error(w, "disturbance must be a number above 0", http.StatusBadRequest)
			return
		}
		r.SetSlowdown(factor)
	}
	if fault := query.Get("fault"); fault != "" {
		share, err := strconv.ParseFloat(query.Get("share"), 64)
		if err != nil || share < 0 || share > 1 {
			http.Error(w, "share must be within 0 and 1", http.StatusBadRequest)
			return
		}
		r.SetFault(RunnerFault(fault), share)
	}
	write(w, http.StatusOK, "text/plain", nil)
}

// serve runs one request.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get(RequestIDHeader)
	fault, took := r.begin(id)
	defer r.finish()
	if fault == RunnerFail {
		http.Error(w, "upstream failure", http.StatusInternalServerError)
		return
	}
	time.Sleep(took)
	reply := fmt.Appendf(nil, "%s %s\n%s", req.PathValue("service"), id, body)
	switch fault {
	case RunnerHang:
		<-req.Context().Done()
	case RunnerTruncate:
		r.cut(w, id, reply)
	case RunnerDuplicate:
		twice(w, id, reply)
	case RunnerWrongID:
		w.Header().Set(RequestIDHeader, "crossed-"+id)
		write(w, http.StatusOK, "text/plain", reply)
	default:
		w.Header().Set(RequestIDHeader, id)
		write(w, http.StatusOK, "text/plain", reply)
	}
}

// begin counts a run and draws its fault and service time.
func (r *Runner) begin(id string) (RunnerFault, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.maxInFlight = max(r.maxInFlight, r.inFlight)
	fault := RunnerFault("")
	if r.random.Float64() < r.share {
		fault = r.fault
	}
	if fault != RunnerFail {
		r.runs[id]++
		r.total++
	}
	took := time.Duration(float64(r.options.Mean) * r.draw() * r.disturbance)
	if fault == RunnerSlow {
		took *= slowFactor
	}
	return fault, took
}

// draw returns a service time with mean 1; r.mu is held.
func (r *Runner) draw() float64 {
	switch r.options.Distribution {
	case Exponential:
		return r.random.ExpFloat64()
	case Lognormal:
		return math.Exp(lognormalSigma*r.random.NormFloat64() - lognormalSigma*lognormalSigma/2)
	case Constant:
	}
	return 1
}

func (r *Runner) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// cut declares the whole length, sends half and closes the connection.
func (r *Runner) cut(w http.ResponseWriter, id string, reply []byte) {
	w.Header().Set(RequestIDHeader, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(reply[:len(reply)/2])
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	panic(http.ErrAbortHandler)
}

// twice writes the same whole response two times on the connection.
func twice(w http.ResponseWriter, id string, reply []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		RequestIDHeader, id, len(reply), reply)
	_, _ = conn.Write(append(response, response...))
}
