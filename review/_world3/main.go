// Command world3 runs the scripted cases of the third review: a small deployment of the project's own programs
// with stand-ins for the platform, its callers and its runners.
//
//	world3 CASE RECORD
//
// It exits with 1 if a rule was broken, 0 if all held and 2 if the case could not run. TROUBLE=0 leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun bounds a case.
const longestRun = 110 * time.Second

// cases are the scripted cases. Each returns the breaches of a rule that it saw.
var cases = map[string]func(w *world, trouble bool) (breaches []string, err error){
	"cancel": cancelCase,
	"advice": adviceCase,
	"crash":  crashCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, recordPath string, trouble bool) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
			fmt.Fprintln(os.Stderr, "the case takes too long")
		}
		w.close()
		os.Exit(2)
	}()
	breaches, err := cases[name](w, trouble)
	if err != nil {
		w.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range breaches {
		w.record.line("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(breaches) > 0 {
		return 1
	}
	w.record.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
