package daemon

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// stopWithin stops a node and checks that this takes at most limit.
func (d *deployment) stopWithin(ip string, limit time.Duration) {
	d.t.Helper()
	began := time.Now()
	d.stop[ip]()
	test.Less(d.t, limit, time.Since(began), test.Sprint(ip))
}

// openRequest opens a connection and sends a request on it, except the end of its headers.
func (d *deployment) openRequest(ip, port string) {
	conn, err := net.Dial("tcp", net.JoinHostPort(ip, port))
	must.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n"))
	must.NoError(d.t, err)
}

// Guards against a process that does not end within its grace period, because its servers wait one
// after another for connections that stay open.
func TestPlatform_ShutdownWithinGracePeriod(t *testing.T) {
	d := newDeployment(t, time.Second)
	entry, agent := testEntries[0], "127.0.7.20"
	for _, port := range []string{testCallersPort, testReadyPort, fmt.Sprint(metricsPort)} {
		d.openRequest(entry, port)
	}
	for _, port := range []string{testReportPort, fmt.Sprint(metricsPort)} {
		d.openRequest(agent, port)
	}
	grace := d.node(entry).Bounds.GracePeriod
	d.stopWithin(entry, grace)
	d.stopWithin(agent, grace)
}
