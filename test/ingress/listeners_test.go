package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
)

// standaloneDeployments are the standalone deployments: separate processes, and all of them in one.
var standaloneDeployments = []struct {
	name  string
	start func(*testing.T) *cluster
}{{"processes", startCluster}, {"dev", startDev}}

// testListeners sends crowds to listeners of a standalone deployment, in each way and silent ones.
func testListeners(t *testing.T, start func(*testing.T) *cluster, names ...string) {
	testWays(t, start, append(ways, silent), names...)
}

func testWays(t *testing.T, start func(*testing.T) *cluster, ways []way, names ...string) {
	for _, name := range names {
		for _, w := range ways {
			t.Run(name+"/"+w.name, func(t *testing.T) {
				c := start(t)
				c.target(name).send(t, c.crowd, w)
				c.check()
			})
		}
	}
}

// Guards against an entry whose callers' bodies or connections outgrow its machine.
func TestIngress_StandaloneCallers(t *testing.T) {
	for _, d := range standaloneDeployments {
		t.Run(d.name, func(t *testing.T) { testListeners(t, d.start, "requests", "jobs") })
	}
}

// Guards against an entry whose operators' bodies, or connections without a token, outgrow its machine.
func TestIngress_StandaloneOperators(t *testing.T) {
	for _, d := range standaloneDeployments {
		t.Run(d.name, func(t *testing.T) {
			testListeners(t, d.start, "operators", "operators without a token", "operators' metrics")
		})
	}
}

// Guards against an entry that ends or runs out of descriptors by clients of the agents' listener.
func TestIngress_StandaloneAgents(t *testing.T) {
	for _, d := range standaloneDeployments {
		t.Run(d.name, func(t *testing.T) { testListeners(t, d.start, "agents") })
	}
}

// Guards against an entry that accepts no agents any more once it has run out of descriptors.
func TestIngress_AgentAfterCrowd(t *testing.T) {
	c := startCluster(t)
	c.target("agents").send(t, c.crowd, silent)
	c.check()
	c.replaceAgent()
	c.check()
}

// Guards against a client of the agents' listener that takes all of the entry's memory by messages
// without their end.
func TestIngress_StandaloneUnfinishedMessages(t *testing.T) {
	data := append(protowire.AppendVarint(nil, 4<<20-1), make([]byte, 250<<10)...)
	for _, d := range standaloneDeployments {
		t.Run(d.name, func(t *testing.T) {
			c := d.start(t)
			sendStreams(t, c.target("agents").address, 4, 200, func(int) []byte { return data })
			c.check()
		})
	}
}

// Guards against an agent that runs out of descriptors by clients of its metrics.
func TestIngress_StandaloneAdmin(t *testing.T) { testListeners(t, startCluster, "admin") }

// Guards against a stand-in of the platform that outgrows its machine by unfinished bodies.
func TestIngress_Standin(t *testing.T) {
	t.Run("processes", func(t *testing.T) { testListeners(t, startCluster, "table", "objects", "worker", "runner") })
	t.Run("dev", func(t *testing.T) { testListeners(t, startDev, "table", "objects") })
}

// Guards against objects that take all of the memory of a stand-in.
func TestIngress_ManyObjects(t *testing.T) {
	c := startCluster(t)
	object := strings.Repeat("x", bodyLimit)
	for i := range crowd {
		_ = request(http.MethodPut, c.target("objects").address, "/v1/objects/crowd-"+strconv.Itoa(i), object)
	}
	c.check()
}

// Guards against clients that take the memory or the descriptors of a standalone process without a body.
func TestIngress_StandaloneOtherWays(t *testing.T) {
	t.Run("processes", func(t *testing.T) { testWays(t, startCluster, otherWays, "requests", "operators", "admin", "table") })
	t.Run("dev", func(t *testing.T) { testWays(t, startDev, otherWays, "requests", "operators", "table") })
}

// Guards against listeners that are each within their limits and together are not.
func TestIngress_StandaloneTogether(t *testing.T) {
	for _, d := range standaloneDeployments {
		for shift, w := range ways {
			t.Run(d.name+"/"+w.name, func(t *testing.T) {
				c := d.start(t)
				var wg sync.WaitGroup
				for k, to := range c.targets {
					wg.Go(func() { to.send(t, crowdEach, ways[(shift+k)%len(ways)]) })
				}
				wg.Wait()
				c.check()
			})
		}
	}
}

// Guards against limits so low that the largest legal request is refused in calm.
func TestIngress_LargestRequests(t *testing.T) {
	for _, d := range standaloneDeployments {
		t.Run(d.name, func(t *testing.T) {
			c := d.start(t)
			requestBody, err := response(http.MethodPost, c.callers, "/v1/services/glint-check/requests", string(pad("{}", bodyLimit)))
			must.NoError(t, err)
			must.Greater(t, bodyLimit, len(requestBody))
			must.NoError(t, request(http.MethodPost, c.callers, "/v1/jobs", string(largestJob)))
			must.NoError(t, request(http.MethodPost, c.operators, "/v1/statements", string(largestStatement), "Authorization", "Bearer "+operatorToken))
			const longStatement = 16_000
			text := "show tasks where id = 1" + strings.Repeat(" and id = 1", longStatement/len(" and id = 1")-3)
			body, err := json.Marshal(map[string]string{"statement": text})
			must.NoError(t, err)
			must.NoError(t, request(http.MethodPost, c.operators, "/v1/statements", string(body), "Authorization", "Bearer "+operatorToken))
		})
	}
	t.Run("platform", func(t *testing.T) {
		start(t, "entry")
		must.NoError(t, request(http.MethodPost, callers, "/x/00000000000000ab", string(pad(ordinaryJob, bodyLimit))))
	})
}
