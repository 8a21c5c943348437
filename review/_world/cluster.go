package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"bamboowood/platform/platformtest"
)

// Names, ports and bounds of the small deployment. The bounds are those of the site smrom-bamboowood.
const (
	serviceName = "ojo-servicio"
	hostName    = "ojo.example"
	queuePath   = "/cola/"
	frontPort   = 18161
	readyPort   = 18167
	controlPort = 18166
	appPort     = 18080
	storePort   = 18169
	peerPort    = 17720

	holdMax    = 6 * time.Second
	stopTime   = 100 * time.Millisecond // stopMs allows 900 ms
	cancelTime = 3 * time.Second        // cancel_ms
	stopMax    = 900 * time.Millisecond // stopMs
	ackTime    = 4 * time.Second        // ackMs
	pingTime   = 1500 * time.Millisecond
)

const config = `{"version":1,"routes":[{"name":"cola","host":"` + hostName + `","pathPrefix":"` + queuePath + `","service":"` + serviceName + `",
	"priority":0,"maxAttempts":3,"stretch":2,"sloMs":1000}],"services":[{"name":"` + serviceName + `","admissionCheck":true}],
	"limits":{"maxBodyBytes":262144}}`

// process is an entry or an agent, started with the command of the deploy file.
type process struct {
	name, role, ip string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// cluster is a small deployment: entries, agents, runners and the platform's store.
type cluster struct {
	*world
	ctx     context.Context
	cancel  context.CancelFunc
	dir     string
	block   string
	store   *platformtest.Store
	entries []*process
	agents  []*process
	client  *http.Client
}

func newWorld(record *os.File) *world {
	return &world{
		began: time.Now(), record: record, jobs: map[string]*submission{}, tasks: map[string]*taskHistory{},
	}
}

// newCluster starts the store, the entries and the agents. The agents' runners are not started.
func newCluster(record *os.File, entries, agents int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{world: newWorld(record), dir: dir, store: platformtest.NewStore()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	if err := c.findBlock(); err != nil {
		return nil, err
	}
	c.store.WriteOperator("config", []byte(config))
	for i := range entries {
		c.entries = append(c.entries, c.newProcess(fmt.Sprintf("front-%d", i+1), "entry", c.ip(10+i)))
	}
	for i := range agents {
		c.agents = append(c.agents, c.newProcess(fmt.Sprintf("side-%d", i+1), "agent", c.ip(100+i)))
	}
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) ip(i int) string { return fmt.Sprintf("%s.%d", c.block, i) }

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// findBlock takes a block of loopback addresses whose store port is free, and serves the store there.
func (c *cluster) findBlock() error {
	for range 100 {
		c.block = fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", at(c.ip(1), storePort))
		if err != nil {
			continue
		}
		go func() {
			_ = (&http.Server{Handler: &limits{c.world, c.store}, ReadHeaderTimeout: 5 * time.Second}).Serve(ln)
		}()
		return nil
	}
	return fmt.Errorf("no free loopback addresses")
}

func (c *cluster) newProcess(name, role, ip string) *process {
	p := &process{name: name, role: role, ip: ip, settings: filepath.Join(c.dir, name+".toml")}
	text := fmt.Sprintf("nodeName = %q\nip = %q\nzone = \"z1\"\nregion = \"r1\"\nportRange = [%d,%d]\nbootstrap = true\nheartbeatMs = %d\norders = \"invoke\"\n",
		name, ip, peerPort, peerPort+15, pingTime.Milliseconds())
	if role == "agent" {
		text += fmt.Sprintf("app = %q\nservice = %q\n", at(ip, appPort), serviceName)
	}
	text += fmt.Sprintf("[listen]\nfront = %q\nready = %q\ncontrol = %q\n", at(ip, frontPort), at(ip, readyPort), at(ip, controlPort))
	text += fmt.Sprintf("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\n[platform]\naddress = %q\nform = \"table\"\n", at(c.ip(1), storePort))
	text += "[bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigDeadlineMs = 2000\nmaxSkewMs = 5000\n" +
		"holdMaxMs = 6000\nstopMs = 900\ngangMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 1.5\n"
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return p
}

// start starts the process with the command of deploy/system.toml, in the repository's root.
func (p *process) start() error {
	out, err := os.Create(p.settings + ".log")
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/bamboowoodd", "platform", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BAMBOOWOOD_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// close ends all processes.
func (c *cluster) close() {
	c.cancel()
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// newRunner starts a runner beside an agent.
func (c *cluster) newRunner(i int, capacity resources) (*runner, error) {
	c.mu.Lock()
	born := time.Now()
	r := &runner{
		w: c.world, id: fmt.Sprintf("i-%08x", rand.Uint32()), name: fmt.Sprintf("runner-%d", i+1), address: at(c.agents[i].ip, appPort),
		control: at(c.agents[i].ip, controlPort), zone: "z1", capacity: capacity, labels: []string{"a", "r1-1"},
		born: born, active: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	c.runners = append(c.runners, r)
	c.logf("%s (%s) starts beside %s", r.name, r.id, c.agents[i].name)
	c.mu.Unlock()
	if err := r.listen(); err != nil {
		return nil, err
	}
	go r.report(c.ctx, pingTime)
	go func() { // leases expire also while nobody calls
		for c.ctx.Err() == nil {
			c.mu.Lock()
			r.expire()
			c.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return r, nil
}

// awaitReady waits until all entries report that they are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, p := range c.entries {
		for {
			response, err := c.client.Get("http://" + at(p.ip, readyPort) + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call sends one request of a requester to an entry. status is 0 without an answer.
func (c *cluster) call(entry *process, method, id string, body []byte) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+at(entry.ip, frontPort)+queuePath+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// submit hands a submission in at an entry, and retries at the others without an answer.
func (c *cluster) submit(first int, steps ...stepSpec) *submission {
	return c.handIn(first, &submission{Steps: steps})
}

// handIn is submit for a submission of any kind. It sets the id and the spec.
func (c *cluster) handIn(first int, s *submission) *submission {
	id := fmt.Sprintf("%016x", rand.Uint64())
	s.ID, s.Spec = id, "spec of "+id
	c.mu.Lock()
	c.jobs[id] = s
	c.mu.Unlock()
	body, _ := json.Marshal(s)
	for try := range 5 {
		entry := c.entries[(first+try)%len(c.entries)]
		status, _ := c.call(entry, http.MethodPost, id, body)
		c.mu.Lock()
		c.logf("POST %s at %s: %d", id, entry.name, status)
		if status/100 == 2 {
			s.accepted = time.Now()
			c.mu.Unlock()
			return s
		}
		c.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	return s
}

// cancelJob cancels a submission until that is acknowledged.
func (c *cluster) cancelJob(first int, s *submission) {
	for try := range 5 {
		entry := c.entries[(first+try)%len(c.entries)]
		c.mu.Lock()
		s.cancelSent = time.Now()
		c.mu.Unlock()
		status, _ := c.call(entry, http.MethodDelete, s.ID, nil)
		c.mu.Lock()
		c.logf("DELETE %s at %s: %d", s.ID, entry.name, status)
		if status/100 == 2 {
			s.cancelAcked = time.Now()
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// state returns a submission's state as an entry answers it.
func (c *cluster) state(entry *process, id string) string {
	status, answer := c.call(entry, http.MethodGet, id, nil)
	c.log("GET %s at %s: %d %s", id, entry.name, status, strings.TrimSpace(answer))
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}
