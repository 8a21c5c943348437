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

// RequestIDHeader carries the id of the request, in requests and responses.
const RequestIDHeader = "Bamboowood-Request-Id"

// Distribution is the distribution of a Runner's service times.
type Distribution string

// Distributions of service times, all with the mean RunnerOptions.Mean.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// Defaults and parameters of a Runner.
const (
	defaultServiceTime = 20 * time.Millisecond
	lognormalSigma     = 1.0
	// InterferenceSlowdown is the slowdown of an upstream that shares its VM with
	// interfering tasks.
	InterferenceSlowdown = 5.0
)

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	// Mean is the mean service time without slowdown; 0 means 20 ms.
	Mean time.Duration
	// Distribution defaults to Exponential.
	Distribution Distribution
	Seed         uint64
}

// RunnerFault is a fault of a Runner in serving one request.
type RunnerFault string

// Faults of a Runner. All but RunnerFail take effect after the service time.
const (
	RunnerFail      RunnerFault = "fail"  // responds with status 500 at once, without a run
	RunnerSlow      RunnerFault = "slow"  // multiplies the service time by runnerSlowFactor
	RunnerTruncate  RunnerFault = "cut"   // closes the connection after half of the response
	RunnerDuplicate RunnerFault = "twice" // sends the whole response twice
	RunnerWrongID   RunnerFault = "cross" // responds with the id of another request
	RunnerHang      RunnerFault = "hang"  // sends no response
)

const runnerSlowFactor = 20

// Runner is an upstream of services, not a worker: POST /{service} serves a request. The
// response has the request's id and an exact Content-Length. Runs are counted per request
// id. Safe for concurrent use.
type Runner struct {
	options RunnerOptions
	mux     *http.ServeMux

	mu          sync.Mutex
	random      *rand.Rand
	slowdown    float64
	fault       RunnerFault
	faultShare  float64 // share of requests with the fault
	runs        map[string]int
	total       int
	inFlight    int
	maxInFlight int
}

// NewRunner returns a Runner without slowdown and faults.
func NewRunner(options RunnerOptions) *Runner {
	if options.Mean <= 0 {
		options.Mean = defaultServiceTime
	}
	if options.Distribution == "" {
		options.Distribution = Exponential
	}
	r := &Runner{
		options: options, mux: http.NewServeMux(), random: rand.New(rand.NewPCG(options.Seed, 0)), slowdown: 1,
		runs: map[string]int{},
	}
	r.mux.HandleFunc("POST "+FaultsPath, r.serveFaults)
	r.mux.HandleFunc("GET /runs/{id}", r.serveRuns)
	r.mux.HandleFunc("POST /{service}", r.serve)
	return r
}

// SetSlowdown sets the factor that multiplies later service times; 1 means no slowdown.
func (r *Runner) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// SetFault sets the fault of a random share (0 to 1) of later requests; share 0 means
// none.
func (r *Runner) SetFault(fault RunnerFault, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.faultShare = fault, share
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

// MaxInFlight returns the largest number of concurrent requests so far.
func (r *Runner) MaxInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxInFlight
}

// ServeHTTP implements http.Handler. POST /faults?fault=cut&share=0.5 sets the fault,
// POST /faults?disturbance=5 the slowdown; GET /runs/{id} returns the number of runs.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

func (r *Runner) serveRuns(w http.ResponseWriter, req *http.Request) {
	writeResponse(w, http.StatusOK, "text/plain", []byte(strconv.Itoa(r.Runs(req.PathValue("id")))))
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
	writeResponse(w, http.StatusOK, "text/plain", nil)
}

// serve runs one request of a service.
func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get(RequestIDHeader)
	fault, serviceTime := r.begin(id)
	defer r.finish()
	if fault == RunnerFail {
		http.Error(w, "upstream failure", http.StatusInternalServerError)
		return
	}
	time.Sleep(serviceTime)
	reply := fmt.Appendf(nil, "%s %s\n%s", req.PathValue("service"), id, body)
	switch fault {
	case RunnerHang:
		<-req.Context().Done()
	case RunnerTruncate:
		r.sendTruncated(w, id, reply)
	case RunnerDuplicate:
		sendDuplicate(w, id, reply)
	case RunnerWrongID:
		w.Header().Set(RequestIDHeader, "crossed-"+id)
		writeResponse(w, http.StatusOK, "text/plain", reply)
	default:
		w.Header().Set(RequestIDHeader, id)
		writeResponse(w, http.StatusOK, "text/plain", reply)
	}
}

// begin counts the request and returns its random fault and service time.
func (r *Runner) begin(id string) (RunnerFault, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.maxInFlight = max(r.maxInFlight, r.inFlight)
	fault := RunnerFault("")
	if r.random.Float64() < r.faultShare {
		fault = r.fault
	}
	if fault != RunnerFail {
		r.runs[id]++
		r.total++
	}
	serviceTime := time.Duration(float64(r.options.Mean) * r.sampleServiceTime() * r.slowdown)
	if fault == RunnerSlow {
		serviceTime *= runnerSlowFactor
	}
	return fault, serviceTime
}

// sampleServiceTime returns a random service time as a multiple of the mean; r.mu is held.
func (r *Runner) sampleServiceTime() float64 {
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

// sendTruncated sends a header with the whole length and half of the body, and closes the
// connection.
func (r *Runner) sendTruncated(w http.ResponseWriter, id string, reply []byte) {
	w.Header().Set(RequestIDHeader, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(reply[:len(reply)/2])
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	panic(http.ErrAbortHandler)
}

// sendDuplicate writes the same complete response twice to the connection.
func sendDuplicate(w http.ResponseWriter, id string, reply []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		RequestIDHeader, id, len(reply), reply)
	_, _ = conn.Write(append(response, response...))
}
