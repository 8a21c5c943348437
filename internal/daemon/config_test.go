package daemon

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/platform/platformtest"
)

// Bounds of the platform for changes of the configuration.
const (
	// contactTime is the time after the last disruption of a machine from which on the bounds
	// apply to it.
	contactTime = 3 * time.Second
	// configDeadline is the time from the confirmation of a configuration until requests may
	// not be decided by an older one.
	configDeadline = 2 * time.Second
)

// configWithRoute is testConfig as version 2 with one route more, at /added/.
var configWithRoute = strings.NewReplacer(`"version":1,"routes":[`,
	`"version":2,"routes":[{"name":"added","host":"a.example","pathPrefix":"/added/","service":"desk"},`).Replace(testConfig)

// awaitLeader waits until each entry reaches the leader.
func (d *deployment) awaitLeader() {
	for _, ip := range testEntries {
		must.Wait(d.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			status, _ := d.request(ip, http.MethodGet, "", "")
			return status == http.StatusOK
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	}
}

// leader returns the address of the entry that has begun the last term, and of the other one.
func (d *deployment) leader() (leader, other string) {
	logs := d.logs.String()
	last := func(ip string) int { return strings.LastIndex(logs, `"leader":"`+ip+`:`) }
	if last(testEntries[0]) > last(testEntries[1]) {
		return testEntries[0], testEntries[1]
	}
	return testEntries[1], testEntries[0]
}

// Guards against an entry that refuses requests for a confirmed route because all its open
// connections to the store have gone silent, while new ones work.
func TestPlatform_ConfigAfterConnectionsGoSilent(t *testing.T) {
	d := newStoreOnly(t)
	proxies := map[string]*platformtest.Proxy{}
	for _, ip := range testEntries {
		proxy, err := platformtest.NewProxy(storeAddress)
		must.NoError(t, err)
		t.Cleanup(proxy.Close)
		proxies[ip], d.storeAddresses[ip] = proxy, proxy.Address()
	}
	d.startEntries()
	d.awaitLeader()
	for _, proxy := range proxies {
		proxy.Blackhole()
	}
	silentSince := time.Now()
	d.store.WriteOperator("config", []byte(configWithRoute))
	<-time.After(max(contactTime, configDeadline) - time.Since(silentSince))
	for time.Since(silentSince) < 2*contactTime {
		for _, ip := range testEntries {
			sent := time.Since(silentSince)
			status, _ := d.requestAt(ip, http.MethodGet, "/added/", "", "")
			must.NotEq(t, http.StatusNotFound, status, must.Sprintf("%s refuses a confirmed route after %s", ip, sent))
		}
		<-time.After(50 * time.Millisecond)
	}
	test.StrContains(t, d.logs.String(), `"version":2`)
}

// newGatedDeployment returns a deployment with a gate between each entry and the store.
func newGatedDeployment(t *testing.T) (*deployment, map[string]*platformtest.Gate) {
	d := newStoreOnly(t)
	gates := map[string]*platformtest.Gate{}
	for _, ip := range testEntries {
		gates[ip] = platformtest.NewGate(d.store)
		d.storeAddresses[ip] = serve(t, net.JoinHostPort(ip, "0"), gates[ip])
	}
	d.startAgents(time.Minute)
	d.startEntries()
	d.awaitLeader()
	return d, gates
}

const (
	// refusedFor is how long the store turns one entry away after a change of the configuration.
	refusedFor = 10 * time.Second
	// inFlightTime is how long a call of the store may be in flight, as it waits for a change.
	inFlightTime = 1500 * time.Millisecond
)

// Guards against an entry that has old settings while the store turns it away, so that it answers
// that there is no such queue, or does not serve it although another entry could tell it.
func TestPlatform_ConfigWhileStoreRefusesEntry(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("entry leads %t", leads), func(t *testing.T) {
			d, gates := newGatedDeployment(t)
			ip, other := d.leader()
			if !leads {
				ip = other
			}
			gates[ip].Close()
			<-time.After(inFlightTime)
			d.store.WriteOperator("config", []byte(configWithRoute))
			confirmed := time.Now()
			<-time.After(configDeadline)
			served, tries := 0, 0
			for ; time.Since(confirmed) < refusedFor; tries++ {
				sent := time.Since(confirmed)
				status, _ := d.requestAt(ip, http.MethodGet, "/added/", "", "")
				must.NotEq(t, http.StatusNotFound, status, must.Sprintf("after %s", sent))
				if status == http.StatusOK {
					served++
				}
				<-time.After(50 * time.Millisecond)
			}
			test.Eq(t, tries, served, test.Sprint("the other entry leads, and has the configuration"))
			gates[ip].Open()
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				status, _ := d.requestAt(ip, http.MethodGet, "/unknown/", "", "")
				return status == http.StatusNotFound
			}), wait.Timeout(contactTime), wait.Gap(50*time.Millisecond)), must.Sprint("current settings decide"))
		})
	}
}
