package daemon

import (
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
	for _, ip := range testEntries {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			status, _ := d.request(ip, http.MethodGet, "", "")
			return status == http.StatusOK
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)), must.Sprint("a leader serves"))
	}
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
