package sessions_test

import (
	"bytes"
	"context"
	"regexp"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rogpeppe/go-internal/testscript"

	"bamboowood/internal/cli"
	"bamboowood/internal/daemon"
)

// Timeout and interval of the script command until.
const (
	untilTimeout  = 90 * time.Second
	untilInterval = 100 * time.Millisecond
)

// The scripts in testdata/dev run against the daemon's dev deployment: an entry,
// agents and stand-ins of the platform over loopback.
func TestSessions_Dev(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/dev",
		Setup: func(env *testscript.Env) error {
			logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
			dev, err := daemon.NewDev(daemon.DevOptions{
				Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Deployment: daemon.Deployments["paysandu"], Log: logger,
			})
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- dev.Run(ctx) }()
			env.Defer(func() {
				cancel()
				<-ended
			})
			env.Setenv("BAMBOOWOOD_OPERATORS", "http://"+dev.OperatorsAddr())
			env.Setenv("BAMBOOWOOD_TOKEN", "dev")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"client": cmdClient, "exitcode": cmdExitCode, "until": cmdUntil,
		},
	})
}

// cmdUntil repeats a query until its output matches a pattern.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until PATTERN QUERY...")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	deadline := time.After(untilTimeout)
	for {
		var out bytes.Buffer
		flags := []string{"--operators", ts.Getenv("BAMBOOWOOD_OPERATORS"), "--token", ts.Getenv("BAMBOOWOOD_TOKEN")}
		cli.Run(context.Background(), append(flags, args[1:]...), cli.Env{Stdout: &out, Stderr: &out, Getenv: ts.Getenv})
		if pattern.Match(out.Bytes()) {
			return
		}
		select {
		case <-deadline:
			ts.Fatalf("no match for %s in:\n%s", args[0], out.String())
		case <-time.After(untilInterval):
		}
	}
}
