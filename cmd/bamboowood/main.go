// Command bamboowood is the operators' command-line client.
package main

import (
	"os"

	"bamboowood/internal/cli"
)

func main() { os.Exit(cli.Main()) }
