package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/settings"
)

const validAgent = `role = "agent"
vm = "v1"
zone = "centro"
rack = "r1"
entries = ["127.0.0.1:1"]
worker = "http://127.0.0.1:2"

[upstream]
url = "http://127.0.0.1:3"
services = ["glint-check"]

[platform]
table = "http://127.0.0.1:4"
objects = "http://127.0.0.1:4"
`

func write(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "a.toml")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestLoadAgent_Defaults(t *testing.T) {
	a, err := settings.LoadAgent(write(t, validAgent))
	must.NoError(t, err)
	must.Eq(t, 8, a.Upstream.Slots)
	must.Eq(t, 64, a.Upstream.Connections)
}

// Guards against defaults that are the same on any machine.
func TestLoadEntry_LimitsOfTheMachine(t *testing.T) {
	e := settings.DefaultEntry()
	must.Zero(t, e.Callers.MaxBodiesBytes)
	must.Zero(t, e.Callers.MaxConnections)
	must.Eq(t, settings.Limits{}, e.Limits)
}

func TestCheck_NamesLineKeyValueAndWhatIsAllowed(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"unknown key", validAgent + "speed = 3\n", ":15: platform.speed: unknown key"},
		{"wrong type", "role = \"agent\"\nvm = 7\n", ":2: vm: toml: cannot decode"},
		{"below the minimum", "lease_duration = \"10ms\"\n" + validAgent, `:1: lease_duration: value "10ms" is not allowed: must be at least 1s`},
		{"not a duration", "lease_duration = \"soon\"\n" + validAgent, `"soon" is not a duration`},
		{"invalid address", "admin = \"nowhere\"\n" + validAgent, `:1: admin: value "nowhere" is not allowed: must be HOST:PORT`},
		{"missing", "role = \"agent\"\n", "vm: is required"},
		{"unknown role", "role = \"king\"\n", `:1: role: value "king" is not allowed: must be one of entry, agent, standin`},
		{"in an array of tables", "role = \"standin\"\n[[vms]]\nvm = \"a\"\nworker = \"127.0.0.1:1\"\nrunner = \"127.0.0.1:2\"\n[[vms]]\nvm = \"b\"\nworker = \"x\"\nrunner = \"127.0.0.1:2\"\n", `:8: vms[1].worker: value "x" is not allowed`},
		{"too little memory", "role = \"standin\"\n[limits]\nmemory_mb = 8\n", ":3: limits.memory_mb: value 8 is not allowed: must be at least 48"},
		{"syntax", "role = \n", ":1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Check(write(t, c.text))
			must.ErrorContains(t, err, c.want)
		})
	}
}

func TestSecret(t *testing.T) {
	file := write(t, validAgent)
	_, err := settings.ReadSecret(file, "token")
	must.Error(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(filepath.Dir(file), "token"), []byte("s3cret\n"), 0o600))
	secret, err := settings.ReadSecret(file, "token")
	must.NoError(t, err)
	must.Eq(t, "s3cret", secret)
}
