package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/term"

	"bamboowood/internal/client"
	"bamboowood/internal/statement"
)

const promptText = "bamboowood> "

// runPrompt executes statements from the terminal until end of file or quit. It
// continues after errors of statements.
func (s *session) runPrompt(ctx context.Context) int {
	in, ok := s.env.Stdin.(*os.File)
	if !ok {
		return s.runPipe(ctx)
	}
	fmt.Fprintln(s.env.Stdout, "Tab completes; quit or Ctrl-D ends. For example: show upstreams")
	t := term.NewTerminal(struct {
		io.Reader
		io.Writer
	}{s.env.Stdin, s.env.Stdout}, promptText)
	t.AutoCompleteCallback = func(line string, pos int, key rune) (string, int, bool) {
		if key != '\t' {
			return "", 0, false
		}
		return s.completeLine(ctx, line, pos)
	}
	for ctx.Err() == nil {
		line, err := readLine(in, t)
		if errors.Is(err, io.EOF) {
			return ExitOK
		}
		if err != nil {
			return s.usageError(fmt.Errorf("terminal: %w", err))
		}
		line = strings.TrimSpace(line)
		if line == "quit" || line == "exit" {
			return ExitOK
		}
		if line != "" {
			s.runStatement(ctx, line)
		}
	}
	return ExitOK
}

// readLine reads one line in raw mode and restores the terminal's mode, so that
// results are printed in it.
func readLine(in *os.File, t *term.Terminal) (string, error) {
	old, err := term.MakeRaw(int(in.Fd()))
	if err != nil {
		return "", fmt.Errorf("raw mode: %w", err)
	}
	line, err := t.ReadLine()
	if rerr := term.Restore(int(in.Fd()), old); err == nil && rerr != nil {
		err = rerr
	}
	return line, err
}

// completeLine extends the word at the cursor to the common prefix of its candidates.
func (s *session) completeLine(ctx context.Context, line string, pos int) (string, int, bool) {
	candidates := s.candidates(ctx, line[:pos])
	_, word := splitWord(line[:pos])
	common := commonPrefix(candidates)
	if len(candidates) == 1 {
		common += " "
	}
	if len(common) <= len(word) {
		return "", 0, false
	}
	head := line[:pos-len(word)] + common
	return head + line[pos:], len(head), true
}

// printCandidates prints the candidates for the last word of text, one per line.
func (s *session) printCandidates(ctx context.Context, text string) int {
	for _, c := range s.candidates(ctx, text) {
		fmt.Fprintln(s.env.Stdout, c)
	}
	return ExitOK
}

// splitWord splits text before its last word. The word is "" after a space.
func splitWord(text string) (prefix, word string) {
	i := strings.LastIndexByte(text, ' ') + 1
	return text[:i], text[i:]
}

// candidates returns the completions of the last word of text.
func (s *session) candidates(ctx context.Context, text string) []string {
	prefix, word := splitWord(text)
	var candidates []string
	for _, c := range statement.ExpectedAfter(prefix) {
		if strings.HasPrefix(c, "<") {
			candidates = append(candidates, s.listNames(ctx, c)...)
			continue
		}
		candidates = append(candidates, c)
	}
	var matching []string
	for _, c := range candidates {
		if strings.HasPrefix(c, strings.ToLower(word)) {
			matching = append(matching, c)
		}
	}
	return matching
}

// nameQueries maps each kind of name to the query that lists the names.
var nameQueries = map[string]string{
	"<zone>": "show zones", "<worker>": "show workers", "<service>": "show services", "<team>": "show teams",
	"<job>": "show jobs limit 200", "<watch>": "show watches limit 200", "<task>": "show tasks limit 200",
	"<change>": "show changes limit 20",
}

// listNames queries the names of a kind. It returns none if the query fails.
func (s *session) listNames(ctx context.Context, kind string) []string {
	query, ok := nameQueries[kind]
	if !ok {
		return nil
	}
	result, err := s.client.Run(ctx, query, client.Options{})
	if err != nil {
		return nil
	}
	var names []string
	for _, raw := range result.Rows {
		var row struct {
			Name    string      `json:"name"`
			ID      string      `json:"id"`
			Version json.Number `json:"version"`
		}
		if json.Unmarshal(raw, &row) != nil {
			continue
		}
		switch kind {
		case "<change>":
			names = append(names, row.Version.String())
		case "<zone>", "<service>", "<team>":
			names = append(names, row.Name)
		default:
			names = append(names, row.ID)
		}
	}
	return names
}

func commonPrefix(words []string) string {
	if len(words) == 0 {
		return ""
	}
	prefix := words[0]
	for _, w := range words[1:] {
		for !strings.HasPrefix(w, prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

// completionScript is the bash completion for statements.
const completionScript = `# bash completion of bamboowood; use: source <(bamboowood --completion)
_bamboowood() {
  local words="${COMP_WORDS[*]:1:COMP_CWORD}"
  mapfile -t COMPREPLY < <(bamboowood --complete --timeout 1s -- "$words" 2>/dev/null)
}
complete -o nosort -F _bamboowood bamboowood
`
