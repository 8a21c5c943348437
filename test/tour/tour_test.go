// Package tour_test runs the README's tour against the dev deployment.
package tour_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"bamboowood/internal/cli"
	"bamboowood/internal/daemoncli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bamboowoodd": func() { os.Exit(daemoncli.Main(os.Args[1:])) },
		"bamboowood":  func() { os.Exit(cli.Main()) },
	})
}

// addresses replaces the README's addresses and program names with the script's.
var addresses = strings.NewReplacer(
	"http://127.0.0.1:7480", "$CALLERS",
	"go run ./cmd/bamboowoodd dev", "bamboowoodd dev",
	"go run ./cmd/bamboowood --token dev", "bamboowood",
)

// The script contains every command of the README's tour in the same order.
func TestTour_HasTheREADMEsCommands(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	must.NoError(t, err)
	script, err := os.ReadFile("testdata/tour.txtar")
	must.NoError(t, err)
	rest := strings.ReplaceAll(string(script), "'", "")
	commands := 0
	for line := range strings.Lines(string(readme)) {
		command, ok := strings.CutPrefix(strings.TrimSpace(line), "$ ")
		if !ok {
			continue
		}
		command = strings.ReplaceAll(addresses.Replace(command), `"`, "")
		before, after, found := strings.Cut(strings.ReplaceAll(rest, `"`, ""), command)
		must.True(t, found, must.Sprintf("%q is not in the remaining script: %s", command, before))
		rest = after
		commands++
	}
	must.Greater(t, 10, commands)
}

func TestTour(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			callers, operators := "127.0.0.1:7580", "127.0.0.1:7581"
			env.Setenv("CALLERS", "http://"+callers)
			env.Setenv("CALLERS_LISTEN", callers)
			env.Setenv("OPERATORS_LISTEN", operators)
			env.Setenv("BAMBOOWOOD_OPERATORS", "http://"+operators)
			env.Setenv("BAMBOOWOOD_TOKEN", "dev")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"curl":  curl,
			"until": until,
		},
	})
}

// curl sends one request like the curl program. It supports the flags -s, -i
// (as -si), -X, -H and -d.
func curl(ts *testscript.TestScript, neg bool, args []string) {
	method, url, body, showHead := http.MethodGet, "", "", false
	header := http.Header{}
	for i := 0; i < len(args); i++ {
		switch args[i] {
		case "-s":
		case "-si":
			showHead = true
		case "-X", "-H", "-d":
			if i+1 == len(args) {
				ts.Fatalf("curl: %s needs a value", args[i])
			}
			value := args[i+1]
			switch args[i] {
			case "-X":
				method = value
			case "-H":
				name, v, _ := strings.Cut(value, ":")
				header.Set(name, strings.TrimSpace(v))
			case "-d":
				body = value
			}
			i++
		default:
			url = args[i]
		}
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	ts.Check(err)
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if neg && err != nil {
		return
	}
	ts.Check(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	ts.Check(err)
	out := ts.Stdout()
	if showHead {
		fmt.Fprintf(out, "%s\n", response.Status)
		for _, name := range slices.Sorted(maps.Keys(response.Header)) {
			fmt.Fprintf(out, "%s: %s\n", name, response.Header.Get(name))
		}
	}
	_, err = out.Write(data)
	ts.Check(err)
}

// untilTimeout bounds the command until.
const untilTimeout = 60 * time.Second

// until TEXT PROGRAM ARGS... runs a program repeatedly until its output contains
// TEXT.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until TEXT PROGRAM [ARGS]")
	}
	ctx, cancel := context.WithTimeout(context.Background(), untilTimeout)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var last bytes.Buffer
	for {
		last.Reset()
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		select {
		case <-ctx.Done():
			ts.Fatalf("output did not contain %q within %s", args[0], untilTimeout)
		case <-tick.C:
		}
	}
}
