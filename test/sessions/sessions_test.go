// Package sessions_test runs complete operator sessions: the client as operators
// run it, the operators' HTTP handler of an entry and a stand-in of the table.
package sessions_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bamboowood/internal/cli"
	"bamboowood/internal/standin"
)

var update = flag.Bool("update", false, "rewrite the golden files and the examples of the reference")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bamboowood": func() { os.Exit(cli.Main()) }})
}

type deploymentKey struct{}

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			d, err := newDeployment(context.Background())
			if err != nil {
				return err
			}
			env.Defer(d.server.Close)
			env.Values[deploymentKey{}] = d
			env.Setenv("BAMBOOWOOD_OPERATORS", d.server.URL)
			env.Setenv("BAMBOOWOOD_TOKEN", "ana-secret")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"clock":     scriptCommand(1, func(d *deployment, args []string) error { return d.advanceClock(args[0]) }),
			"move":      scriptCommand(2, func(d *deployment, args []string) error { return d.move(context.Background(), args[0], args[1]) }),
			"requests":  scriptCommand(2, func(d *deployment, args []string) error { return d.setInFlight(args[0], args[1]) }),
			"interject": scriptCommand(1, func(d *deployment, args []string) error { return d.injectCommand(args[0]) }),
			"table":     scriptCommand(1, func(d *deployment, args []string) error { return d.setTableFault(args[0]) }),
			"client":    cmdClient,
			"exitcode":  cmdExitCode,
		},
	})
}

// scriptCommand returns a script command that takes n arguments.
func scriptCommand(n int, run func(d *deployment, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) != n {
			ts.Fatalf("expected %d arguments", n)
		}
		ts.Check(run(ts.Value(deploymentKey{}).(*deployment), args))
	}
}

// cmdClient runs the client in this process and requires exit code 0, or a
// non-zero one if negated.
func cmdClient(ts *testscript.TestScript, neg bool, args []string) {
	if code := runClient(ts, args); (code == cli.ExitOK) == neg {
		ts.Fatalf("exit code is %d", code)
	}
}

// cmdExitCode runs the client in this process and requires the given exit code.
func cmdExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE ARGUMENT...")
	}
	if code := runClient(ts, args[1:]); strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code is %d, expected %s", code, args[0])
	}
}

// runClient runs the client with the script's environment, which flags override.
func runClient(ts *testscript.TestScript, args []string) int {
	args = append([]string{"--operators", ts.Getenv("BAMBOOWOOD_OPERATORS"), "--token", ts.Getenv("BAMBOOWOOD_TOKEN")}, args...)
	return cli.Run(context.Background(), args, cli.Env{
		Stdin: strings.NewReader(""), Stdout: ts.Stdout(), Stderr: ts.Stderr(), Getenv: ts.Getenv,
	})
}

func (d *deployment) advanceClock(by string) error {
	duration, err := time.ParseDuration(by)
	if err != nil {
		return err
	}
	d.advance(duration)
	return nil
}

func (d *deployment) setInFlight(vm, n string) error {
	count, err := strconv.Atoi(n)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[vm] = count
	return nil
}

// tableFaults holds the faults by argument of the script command table. With
// "cut", commits of entryA fail and do not take effect.
var tableFaults = map[string]map[standin.Operation]standin.Fault{
	"up":           {},
	"down":         {standin.AnyOperation: {Refuse: true}},
	"slow":         {standin.AnyOperation: {Latency: 30 * time.Millisecond}},
	"loses-answer": {standin.OpCommit: {LoseNext: 1}},
	"cut":          {},
}

func (d *deployment) setTableFault(name string) error {
	faults, ok := tableFaults[name]
	if !ok {
		return fmt.Errorf("unknown table fault %q", name)
	}
	d.mu.Lock()
	d.dropCommits = name == "cut"
	d.mu.Unlock()
	d.table.Faults().Clear()
	for op, fault := range faults {
		d.table.Faults().Set(op, fault)
	}
	return nil
}
