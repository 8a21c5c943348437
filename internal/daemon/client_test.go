package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/netcount"
	"bamboowood/platform/platformtest"
)

// Guards against calls of a platform service that fail one after another because each takes
// the next silent connection: once all open connections have gone silent, only one may fail.
func TestPlatformClient_OneFailureAfterConnectionsGoSilent(t *testing.T) {
	const callTime = 50 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-time.After(callTime) }))
	t.Cleanup(server.Close)
	proxy, err := platformtest.NewProxy(strings.TrimPrefix(server.URL, "http://"))
	must.NoError(t, err)
	t.Cleanup(proxy.Close)
	client := platformClient(netcount.Platform, 10*callTime, 8)
	get := func() error {
		response, err := client.Get("http://" + proxy.Address())
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { test.NoError(t, get()) })
	}
	group.Wait()
	proxy.Blackhole()
	must.Error(t, get(), must.Sprint("the connections are silent"))
	test.NoError(t, get())
}
