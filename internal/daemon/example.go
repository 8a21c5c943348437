package daemon

import (
	"bytes"
	"fmt"
	"net"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"bamboowood/internal/settings"
)

// Ports of the example settings, all on loopback.
const (
	exampleCallersPort   = 7480
	exampleOperatorsPort = 7481
	exampleAgentsPort    = 7482
	// examplePortStep is the distance between the ports of two entries.
	examplePortStep     = 10
	examplePlatformPort = 7600
	exampleWorkersPort  = 7620
	exampleRunnersPort  = 7640
	exampleAdminPort    = 7660
	exampleEntries      = 2
)

// ExampleFiles returns, by file name, the settings files that run a deployment as separate
// processes on one machine: entries, agents and a stand-in for the platform.
func ExampleFiles(d Deployment) (map[string][]byte, error) {
	values := map[string]any{"standin.toml": exampleStandin(d)}
	for i := range exampleEntries {
		values[fmt.Sprintf("entry-%d.toml", i+1)] = exampleEntry(d, i)
	}
	for i, p := range d.vmLocations() {
		values["agent-"+p.vm+".toml"] = exampleAgent(d, p, i)
	}
	files := map[string][]byte{"operator.token": []byte("dev\n")}
	for name, value := range values {
		var b bytes.Buffer
		if err := toml.NewEncoder(&b).SetIndentTables(false).Encode(value); err != nil {
			return nil, fmt.Errorf("encode %s: %w", name, err)
		}
		files[name] = b.Bytes()
	}
	return files, nil
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func examplePlatform() settings.Platform {
	p := settings.DefaultEntry().Platform
	p.Table = "http://" + loopback(examplePlatformPort)
	p.Objects = p.Table
	return p
}

func exampleEntry(d Deployment, i int) settings.Entry {
	e := settings.DefaultEntry()
	e.Name = fmt.Sprintf("entry-%d", i+1)
	e.Zone = d.Zones[i%len(d.Zones)]
	e.Callers.Listen = loopback(exampleCallersPort + i*examplePortStep)
	e.Operators.Listen = loopback(exampleOperatorsPort + i*examplePortStep)
	e.Operators.Tokens = []settings.Token{{Name: "operator", Role: "operate", SecretFile: "operator.token"}}
	e.Agents.Listen = loopback(exampleAgentsPort + i*examplePortStep)
	e.Platform = examplePlatform()
	e.Bootstrap = d.bootstrap()
	return e
}

func exampleAgent(d Deployment, p vmLocation, i int) settings.Agent {
	a := settings.DefaultAgent()
	a.VM, a.Zone, a.Rack = p.vm, p.zone, p.rack
	a.Entries = []string{loopback(exampleAgentsPort)}
	a.Admin = loopback(exampleAdminPort + i)
	a.Upstream.URL = "http://" + loopback(exampleRunnersPort+i)
	a.Upstream.Services = d.serviceNames()
	a.Worker = "http://" + loopback(exampleWorkersPort+i)
	a.Platform = examplePlatform()
	a.Capacity, a.ServiceReserve = d.Capacity, d.ServiceReserve
	return a
}

func exampleStandin(d Deployment) settings.Standin {
	s := settings.DefaultStandin()
	s.Listen = loopback(examplePlatformPort)
	for i, p := range d.vmLocations() {
		s.VMs = append(s.VMs, settings.StandinVM{
			VM: p.vm, Worker: loopback(exampleWorkersPort + i), Runner: loopback(exampleRunnersPort + i), Capacity: d.Capacity,
		})
	}
	return s
}
