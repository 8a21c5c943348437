package daemon

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/platform/platformtest"
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

// Guards against a request that is cut off at the end of the grace period instead of being answered.
func TestPlatform_ShutdownAnswersRequests(t *testing.T) {
	d := newDeployment(t, time.Second)
	entry := testEntries[0]
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.stopWithin(entry, d.node(entry).Bounds.GracePeriod)
	}()
	<-time.After(time.Second)
	d.store.SetFault(platformtest.Silent)
	status, _ := d.request(entry, http.MethodPost, "00000000000000d1", twoSteps)
	test.SliceContains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status)
	<-stopped
}
