package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Ports of the standalone processes, all at processIP.
const (
	entryCallersPort = 18171 + iota
	entryOperatorsPort
	entryAgentsPort
	agentAdminPort
	standinTablePort
	standinWorkerPort
	standinRunnerPort
	devCallersPort
	devOperatorsPort
)

// Limits of the standalone processes. dev is an entry, eight agents and the stand-ins in one process.
var (
	standaloneBounds = bounds{memoryMB, maxFds}
	devBounds        = bounds{memoryMB: 96, maxFds: 1024}
)

// devCrowd is crowd for dev.
const devCrowd = 700

// spareFds is the number of descriptors that clients have to leave free.
const spareFds = 16

// operatorsBodyLimit is the largest body that the operators' listener accepts.
const operatorsBodyLimit = 128 << 10

// maxPayload is the largest payload of a job.
const maxPayload = 64 << 10

const operatorToken = "dev"

// run starts a standalone process. Its settings do not name its limits: they are those of the
// environment.
func run(t *testing.T, name string, limits bounds, args ...string) *process {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limits.maxFds)
	memory := fmt.Sprintf("GOMEMLIMIT=%dMiB", limits.memoryMB)
	limits.maxFds -= spareFds
	return launch(t, name, limits, []string{memory}, "sh", append([]string{"-c", script, binary}, args...)...)
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, dir, name, text string) string {
	path := filepath.Join(dir, name)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// cluster are the processes of a standalone deployment.
type cluster struct {
	t                  *testing.T
	processes          []*process
	callers, operators string
	// targets are all listeners, each with a request that has a body.
	targets []target
	// crowd is the number of clients of a crowd.
	crowd int
	// agentSettings is the settings file of the agent.
	agentSettings string
}

// startCluster starts an entry, an agent and a stand-in of the platform.
func startCluster(t *testing.T) *cluster {
	dir := t.TempDir()
	address := func(port int) string { return at(processIP, port) }
	platform := fmt.Sprintf("[platform]\ntable = 'http://%[1]s'\nobjects = 'http://%[1]s'\n", address(standinTablePort))
	writeSettings(t, dir, "operator.token", operatorToken+"\n")
	standin := writeSettings(t, dir, "standin.toml", fmt.Sprintf(`role = 'standin'
listen = %q
[[vms]]
vm = 'w1'
worker = %q
runner = %q
[vms.capacity]
milli_cpu = 64000
memory_mb = 256000
`, address(standinTablePort), address(standinWorkerPort), address(standinRunnerPort)))
	entry := writeSettings(t, dir, "entry.toml", fmt.Sprintf(`role = 'entry'
name = 'entry-1'
zone = 'centro'
[callers]
listen = %q
[operators]
listen = %q
[[operators.tokens]]
name = 'operator'
role = 'operate'
secret_file = 'operator.token'
[agents]
listen = %q
[bootstrap]
zones = ['centro']
[[bootstrap.services]]
name = 'glint-check'
wait = '2s'
idempotent = true
[[bootstrap.teams]]
name = 'workshops'
[bootstrap.teams.quota]
milli_cpu = 1000000
memory_mb = 4000000
[[bootstrap.kinds]]
name = 'recalibration'
kind = 'batch'
team = 'workshops'
duration = '20m'
[bootstrap.kinds.declared]
milli_cpu = 4000
memory_mb = 8192
`, address(entryCallersPort), address(entryOperatorsPort), address(entryAgentsPort))+platform)
	agent := writeSettings(t, dir, "agent.toml", fmt.Sprintf(`role = 'agent'
vm = 'w1'
zone = 'centro'
rack = 'r1'
entries = [%q]
admin = %q
worker = 'http://%s'
[upstream]
url = 'http://%s'
services = ['glint-check']
[capacity]
milli_cpu = 64000
memory_mb = 256000
`, address(entryAgentsPort), address(agentAdminPort), address(standinWorkerPort), address(standinRunnerPort))+platform)
	c := &cluster{t: t, crowd: crowd, callers: address(entryCallersPort), operators: address(entryOperatorsPort)}
	for _, role := range []struct{ name, settings string }{{"standin", standin}, {"entry", entry}, {"agent", agent}} {
		c.processes = append(c.processes, run(t, role.name, standaloneBounds, role.name, role.settings))
	}
	c.agentSettings = agent
	c.waitUntilReady()
	c.addEntryTargets(address(entryAgentsPort))
	c.targets = append(c.targets, target{"admin", address(agentAdminPort), requestTo("POST", "/metrics"), pad("{}", bodyLimit)})
	c.addPlatformTargets(address(standinTablePort))
	c.addVMTargets(address(standinWorkerPort), address(standinRunnerPort))
	return c
}

// startDev starts a deployment in one process.
func startDev(t *testing.T) *cluster {
	c := &cluster{t: t, crowd: devCrowd, callers: at(processIP, devCallersPort), operators: at(processIP, devOperatorsPort)}
	c.processes = []*process{run(t, "dev", devBounds, "dev", "--callers", c.callers, "--operators", c.operators)}
	c.waitUntilReady()
	log := c.processes[0].output()
	c.addEntryTargets(loggedAddress(t, log, "entry ready", "agents"))
	c.addPlatformTargets(loggedAddress(t, log, "stand-in ready", "listen"))
	return c
}

// loggedAddress returns the address in a field of the line with a message in a log of JSON lines.
func loggedAddress(t *testing.T, log, message, field string) string {
	for text := range strings.Lines(log) {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["msg"] == message {
			return line[field].(string)
		}
	}
	t.Fatalf("no line %q", message)
	return ""
}

// largestStatement is a request of an operator with the largest body.
var largestStatement = pad(`{"statement":"show zones"}`, operatorsBodyLimit)

// largestJob is a job with the largest body and payload.
var largestJob = pad(fmt.Sprintf(`{"name":"recalibration","payload":%q}`, payload(maxPayload)), bodyLimit)

// addEntryTargets adds the listeners of the entry.
func (c *cluster) addEntryTargets(agents string) {
	token := "Authorization: Bearer " + operatorToken
	c.targets = append(
		c.targets,
		target{"requests", c.callers, requestTo("POST", "/v1/services/glint-check/requests"), pad("{}", bodyLimit)},
		target{"jobs", c.callers, requestTo("POST", "/v1/jobs"), largestJob},
		target{"operators", c.operators, requestTo("POST", "/v1/statements", token), largestStatement},
		target{"operators without a token", c.operators, requestTo("POST", "/v1/statements"), largestStatement},
		target{"operators' metrics", c.operators, requestTo("GET", "/metrics"), largestStatement},
		target{"agents", agents, requestTo("POST", "/"), pad("{}", bodyLimit)},
	)
}

// addPlatformTargets adds the listener of a stand-in for the table and the objects.
func (c *cluster) addPlatformTargets(address string) {
	tx := pad(fmt.Sprintf(`{"checks":[],"writes":[{"key":"crowd","value":%q}]}`, payload(128<<10)), bodyLimit)
	c.targets = append(
		c.targets,
		target{"table", address, requestTo("POST", "/v1/transactions"), tx},
		target{"objects", address, requestTo("PUT", "/v1/objects/crowd-%d"), pad("{}", bodyLimit)},
	)
}

// addVMTargets adds the listeners of a stand-in for a VM.
func (c *cluster) addVMTargets(worker, runner string) {
	start := fmt.Sprintf(`{"fence":1,"lease":1000000000,"spec":{"name":"crowd","kind":"batch","team":"workshops","payload":%q}}`,
		payload(maxPayload))
	c.targets = append(
		c.targets,
		target{"worker", worker, requestTo("PUT", "/v1/tasks/crowd-%d"), pad(start, bodyLimit)},
		target{"runner", runner, requestTo("POST", "/glint-check"), pad("{}", bodyLimit)},
	)
}

// target returns the listener with a name.
func (c *cluster) target(name string) target {
	for _, to := range c.targets {
		if to.name == name {
			return to
		}
	}
	c.t.Fatalf("no target %q", name)
	return target{}
}

func (c *cluster) waitUntilReady() {
	waitFor(c.t, c.processes, "ready", func() error { return request(http.MethodGet, c.operators, "/readyz", "") })
	waitFor(c.t, c.processes, "an upstream", c.request)
}

// request sends an ordinary request of a service.
func (c *cluster) request() error {
	return request(http.MethodPost, c.callers, "/v1/services/glint-check/requests", "eye")
}

// statement sends an ordinary statement of an operator.
func (c *cluster) statement() error {
	return request(http.MethodPost, c.operators, "/v1/statements", `{"statement":"show zones"}`, "Authorization", "Bearer "+operatorToken)
}

// replaceAgent ends the agent, and starts another one.
func (c *cluster) replaceAgent() {
	last := len(c.processes) - 1
	old := c.processes[last]
	must.NoError(c.t, old.cmd.Process.Kill())
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(old.ended.Load), wait.Timeout(patience)))
	c.processes[last] = run(c.t, "agent", standaloneBounds, "agent", c.agentSettings)
}

// check checks all processes after a crowd, which is still connected.
func (c *cluster) check() {
	for range ordinaryRequests {
		waitFor(c.t, c.processes, "an ordinary request is answered", c.request)
		waitFor(c.t, c.processes, "an ordinary statement is answered", c.statement)
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range c.processes {
		p.checkBounds()
	}
}
