// Package ingress starts single processes with low limits and sends them a crowd of clients that
// use as much memory and as many connections as they can. It checks that the process lives, stays
// within its limits, and answers an ordinary request afterwards. The tests do not run in parallel.
package ingress

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the daemon. It is built without the race detector, whose shadow memory would
// count as memory of the process.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ingress")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "bamboowoodd")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "bamboowood/cmd/bamboowoodd")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	reserved, err := reserveAddresses()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = reserved.Close() }()
	return m.Run()
}
