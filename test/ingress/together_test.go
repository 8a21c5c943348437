package ingress

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/platform/platformtest"
)

// crowdEach is the number of clients of each listener when all listeners of a deployment have a crowd.
const crowdEach = crowd / 4

// deployment is a deployment on the platform: an entry that leads, another entry, and an agent with its
// runner.
type deployment struct {
	t                     *testing.T
	leader, entry, agent  string // their IP addresses
	processes             []*process
	ordinaryJobsSubmitted int
}

func startDeployment(t *testing.T) *deployment {
	host, _, err := net.SplitHostPort(storeAddress)
	must.NoError(t, err)
	ip := func(last int) string { return host[:len(host)-1] + fmt.Sprint(last) }
	d := &deployment{t: t, leader: ip(10), entry: ip(11), agent: ip(20)}
	store := platformtest.NewStore()
	store.WriteOperator("config", []byte(config))
	serve(t, storeAddress, store)
	runner := &platformtest.Runner{
		ID: "i-1", Service: "desk", Zone: "z1", CPU: 8000, MemoryMB: 8000,
		Duration: func(string, int64) (time.Duration, bool) { return 50 * time.Millisecond, false },
	}
	runner.Reset()
	serve(t, at(d.agent, runnerPort), runner)
	// The leader is the first entry.
	for _, node := range []struct{ role, ip string }{{"entry", d.leader}, {"entry", d.entry}, {"agent", d.agent}} {
		d.processes = append(d.processes, startNode(t, node.role, node.ip))
	}
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		return runner.Report(t.Context(), at(d.agent, reportsPort), at(d.agent, runnerPort), false)
	}), wait.Timeout(patience), wait.Gap(50*time.Millisecond)))
	return d
}

// targets are all listeners of the processes.
func (d *deployment) targets() []target {
	job := pad(ordinaryJob, bodyLimit)
	var all []target
	for k, ip := range []string{d.leader, d.entry} {
		path := fmt.Sprintf("/x/%d", k) + "%015x"
		all = append(
			all,
			target{"callers", at(ip, callersPort), requestTo("POST", path), job},
			target{"readiness", at(ip, readinessPort), requestTo("POST", "/"), job},
			target{"metrics", at(ip, metricsPort), requestTo("POST", "/metrics"), job},
			target{"peers", at(ip, peersPort), requestTo("POST", "/"), job},
		)
	}
	return append(
		all,
		target{"reports", at(d.agent, reportsPort), requestTo("PUT", "/instances/i%d"), pad("{}", 64<<10)},
		target{"metrics", at(d.agent, metricsPort), requestTo("POST", "/metrics"), job},
		target{"peers", at(d.agent, peersPort), requestTo("POST", "/"), job},
	)
}

// runOrdinaryJob submits an ordinary job to an entry and waits until its tasks have run.
func (d *deployment) runOrdinaryJob(entry string) {
	d.t.Helper()
	d.ordinaryJobsSubmitted++
	path := fmt.Sprintf("/x/f%015x", d.ordinaryJobsSubmitted)
	address := at(entry, callersPort)
	waitFor(d.t, d.processes, "an ordinary job is accepted", func() error {
		return request(http.MethodPost, address, path, ordinaryJob)
	})
	waitFor(d.t, d.processes, "an ordinary job has run", func() error {
		body, err := response(http.MethodGet, address, path, "")
		if err != nil {
			return err
		}
		var job struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(body, &job); err != nil || job.State != "completed" {
			return fmt.Errorf("state is %s", body)
		}
		return nil
	})
}

// Guards against a deployment that ends, hangs or runs out of memory or descriptors when all listeners of
// its entry, leader and agent have a crowd at the same time.
func TestIngress_Together(t *testing.T) {
	for shift, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			d := startDeployment(t)
			d.runOrdinaryJob(d.leader)
			var wg sync.WaitGroup
			for k, to := range d.targets() {
				wg.Go(func() { to.send(t, crowdEach, ways[(shift+k)%len(ways)]) })
			}
			wg.Wait()
			for range ordinaryRequests {
				d.runOrdinaryJob(d.leader)
				d.runOrdinaryJob(d.entry)
			}
			for _, p := range d.processes {
				p.checkBounds()
			}
		})
	}
}
