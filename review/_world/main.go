// Command world runs one case of the review: the project's entries and agents as separate processes
// on loopback, with stand-ins for requesters, runners and the platform's store. It exits with 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(record *os.File, trouble bool) (*cluster, error){
	"cancel": cancelCase,
	"acks":   acksCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], record))
}

func play(run func(*os.File, bool) (*cluster, error), record *os.File) int {
	defer func() { _ = record.Close() }()
	c, err := run(record, os.Getenv("TROUBLE") != "0")
	if c != nil {
		defer c.close()
	}
	if err != nil {
		fmt.Fprintln(record, "the case could not run:", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.broken) > 0 {
		fmt.Printf("broken: %d times; first: %s\n", len(c.broken), c.broken[0])
		return 1
	}
	c.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
