// Command bamboowoodd runs a server process, selected by a subcommand: an entry, an agent
// or stand-ins of the platform's services. The subcommand dev runs all of them in one
// process; check and example are for settings files.
package main

import (
	"os"

	"bamboowood/internal/daemoncli"
)

func main() { os.Exit(daemoncli.Main(os.Args[1:])) }
