package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

const (
	// crowdFaults is the number of crowds in a run, crowdClients the connections of each. They are more
	// than an entry of the soak admits (512), and their bodies more than its memory for bodies (64 MiB).
	crowdFaults  = 3
	crowdClients = 700
	crowdBody    = 99_000
)

// Guards against an entry that ends, or loses what it has accepted, beside unknown clients whose bodies
// do not end.
func TestSoak_UnknownClients(t *testing.T) { runSeeds(t, []int64{600}, options{crowd}) }

// crowds returns faults in which clients send unfinished bodies to an entry. They have random numbers of
// their own.
func (cl *cluster) crowds(window time.Duration) (schedule []fault) {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 9))
	for range crowdFaults {
		p, d := pick(r, cl.entries), randomDuration(r, time.Second, 7*time.Second)
		schedule = append(schedule, fault{
			at: randomDuration(r, 0, window), description: fmt.Sprintf("crowd of clients at %s for %s", p.name, d),
			run: func() { p.crowd(d) }, disturbs: []*process{p}, how: disrupted,
		})
	}
	return schedule
}

// crowd opens connections to the process, sends an unfinished body on each, and closes them after d.
func (p *process) crowd(d time.Duration) {
	end := time.Now().Add(d)
	body := make([]byte, crowdBody)
	for i := range crowdClients {
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(p.ip, callersPort), time.Second)
		if err != nil {
			continue // the process is stopped or suspended
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetWriteDeadline(end)
		go func() {
			_, _ = fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", prefix, i, host, crowdBody+1)
			_, _ = conn.Write(body)
		}()
	}
	<-time.After(time.Until(end))
}
