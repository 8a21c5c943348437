// Command world2 plays the scripted cases of the second review: it starts the project's programs as
// separate processes among stand-ins of the platform, disturbs them, and checks one rule.
//
//	world2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment it leaves out the disturbance.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
)

// maxErrors bounds the findings that are printed.
const maxErrors = 10

// cases has the cases by name. Each one is in a file of its own. A case returns the breaks of its rule.
var cases = map[string]func(w *world, trouble bool) (findings []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE RECORD")
		os.Exit(2)
	}
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(ctx, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer w.close()
	w.writeConfig()
	findings, err := cases[name](w, trouble)
	if err != nil {
		w.log("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	for i, f := range findings {
		w.log("BROKEN: %s", f)
		if i < maxErrors {
			fmt.Println("BROKEN:", f)
		}
	}
	if len(findings) > 0 {
		return 1
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
