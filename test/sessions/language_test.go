package sessions_test

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/cli"
	"bamboowood/internal/statement"
)

const referencePath = "../../docs/LANGUAGE.md"

// The lines of the reference's console blocks that begin with "$ " are run in
// order against one deployment, and their output must equal the output on the
// page. A comment "<!-- COMMAND ARGUMENTS -->" runs a command of the session
// scripts.
func TestReference_Examples(t *testing.T) {
	page, err := os.ReadFile(referencePath)
	must.NoError(t, err)
	d, err := newDeployment(t.Context())
	must.NoError(t, err)
	defer d.server.Close()
	var got strings.Builder
	inBlock, examples := false, 0
	for line := range strings.Lines(string(page)) {
		text := strings.TrimSuffix(line, "\n")
		switch {
		case text == "```console":
			inBlock = true
		case strings.HasPrefix(text, "```"):
			inBlock = false
		case strings.HasPrefix(text, "<!-- "):
			must.NoError(t, d.runScriptCommand(strings.Fields(text)[1:]))
		case inBlock && !strings.HasPrefix(text, "$ "):
			continue
		}
		got.WriteString(line)
		if inBlock && strings.HasPrefix(text, "$ bamboowood ") {
			got.WriteString(d.runExample(t.Context(), strings.TrimPrefix(text, "$ bamboowood ")))
			examples++
		}
	}
	must.Greater(t, 20, examples)
	if *update {
		must.NoError(t, os.WriteFile(referencePath, []byte(got.String()), 0o644))
		return
	}
	must.Eq(t, string(page), got.String())
}

// The reference lists the fields of each table.
func TestReference_Fields(t *testing.T) {
	page, err := os.ReadFile(referencePath)
	must.NoError(t, err)
	for table, fields := range statement.Tables {
		var names []string
		for _, f := range fields {
			names = append(names, f.Name)
		}
		name := table
		if table == "tasks" || table == "jobs" {
			name = "tasks, jobs"
		}
		must.StrContains(t, string(page), "| "+name+" | "+strings.Join(names, ", ")+" |")
	}
}

// runScriptCommand runs a command of the session scripts.
func (d *deployment) runScriptCommand(args []string) error {
	switch args[0] {
	case "clock":
		return d.advanceClock(args[1])
	case "move":
		return d.move(context.Background(), args[1], args[2])
	case "interject":
		return d.injectCommand(strings.Join(args[1:len(args)-1], " "))
	}
	return d.setTableFault(args[1])
}

// runExample runs the client and returns its standard output and error.
func (d *deployment) runExample(ctx context.Context, line string) string {
	var out bytes.Buffer
	args := append(splitQuoted(line), "--operators", d.server.URL, "--token", "ana-secret")
	cli.Run(ctx, args, cli.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Getenv: os.Getenv})
	return out.String()
}

// splitQuoted splits a line at spaces outside of single quotes.
func splitQuoted(line string) []string {
	var args []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			args = append(args, part)
		} else {
			args = append(args, strings.Fields(part)...)
		}
	}
	return args
}
