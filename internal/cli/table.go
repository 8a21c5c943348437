package cli

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bamboowood/internal/statement"
)

// Widths of a table, in columns of the terminal.
const (
	defaultWidth = 80
	columnGap    = 2
	// minColumnWidth is the width below which no column is narrowed.
	minColumnWidth = 6
	// minLastColumnWidth is the width to which the last column is narrowed before
	// other columns are narrowed.
	minLastColumnWidth = 20
)

// ANSI escape sequences; used only on terminals.
const (
	bold       = "\x1b[1m"
	red        = "\x1b[31m"
	green      = "\x1b[32m"
	resetStyle = "\x1b[0m"
)

func (s *session) width() int {
	if s.env.Width > 0 {
		return s.env.Width
	}
	return defaultWidth
}

func (s *session) useColours() bool { return s.env.OutTerminal && s.env.Getenv("NO_COLOR") == "" }

func (s *session) printResult(result statement.Result) error {
	if s.flags.Output == "json" {
		s.printJSON(result)
		return nil
	}
	if len(result.Columns) > 0 {
		if err := s.printTable(result); err != nil {
			return err
		}
	}
	if result.Message != "" {
		text := result.Message
		if result.ChangeID != "" {
			text += fmt.Sprintf("\nchange %d, id %s", result.Version, result.ChangeID)
		}
		fmt.Fprintln(s.env.Stdout, text)
	}
	return nil
}

func (s *session) printJSON(v any) {
	encoder := json.NewEncoder(s.env.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		fmt.Fprintln(s.env.Stderr, err)
	}
}

// printTable prints a result as a table that fits the width. The last column is
// wrapped; cells of other columns are truncated if necessary.
func (s *session) printTable(result statement.Result) error {
	cells, err := formatCells(result)
	if err != nil {
		return err
	}
	if len(cells) == 0 {
		if result.Message == "" {
			fmt.Fprintln(s.env.Stdout, "no rows")
		}
		return nil
	}
	titles := make([]string, len(result.Columns))
	for i, column := range result.Columns {
		titles[i] = column.Title
	}
	widths := columnWidths(titles, cells, s.width())
	s.printRow(titles, widths, true)
	for _, row := range cells {
		s.printRow(row, widths, false)
	}
	return nil
}

func formatCells(result statement.Result) ([][]string, error) {
	var cells [][]string
	for _, raw := range result.Rows {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(raw, &fields); err != nil {
			return nil, fmt.Errorf("row of the result: %w", err)
		}
		row := make([]string, len(result.Columns))
		for i, column := range result.Columns {
			row[i] = formatCell(fields[column.Field])
		}
		cells = append(cells, row)
	}
	return cells, nil
}

// formatCell returns a JSON value as text. It escapes control characters, because
// they could move the cursor.
func formatCell(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		var f float64
		if err := json.Unmarshal(raw, &f); err == nil {
			return strconv.FormatFloat(f, 'f', -1, 64)
		}
		return string(raw)
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		if t.IsZero() {
			return ""
		}
		return t.UTC().Format(time.RFC3339)
	}
	quoted := strconv.Quote(text)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}

// columnWidths returns the widths of the columns, narrowed in the order of
// columnToNarrow until a row is at most total wide.
func columnWidths(columns []string, cells [][]string, total int) []int {
	widths := make([]int, len(columns))
	for i, c := range columns {
		widths[i] = utf8.RuneCountInString(c)
		for _, row := range cells {
			widths[i] = max(widths[i], utf8.RuneCountInString(row[i]))
		}
	}
	for sum(widths)+columnGap*(len(widths)-1) > total {
		i := columnToNarrow(widths)
		if i < 0 {
			break
		}
		widths[i]--
	}
	return widths
}

// columnToNarrow returns the index of the column to narrow next, or -1 if none can
// be. The order is: the last column down to minLastColumnWidth, the widest middle
// column, the first column, the last column down to minColumnWidth.
func columnToNarrow(widths []int) int {
	last := len(widths) - 1
	if widths[last] > minLastColumnWidth {
		return last
	}
	widest := -1
	for i := 1; i < last; i++ {
		if widths[i] > minColumnWidth && (widest < 0 || widths[i] > widths[widest]) {
			widest = i
		}
	}
	switch {
	case widest >= 0:
		return widest
	case widths[0] > minColumnWidth:
		return 0
	case widths[last] > minColumnWidth:
		return last
	}
	return -1
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}

func (s *session) printRow(row []string, widths []int, title bool) {
	last := len(row) - 1
	lines := strings.Split(wrap(row[last], widths[last]), "\n")
	indent := 0
	var b strings.Builder
	for i := range last {
		text := truncate(row[i], widths[i])
		pad := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(text)+columnGap)
		b.WriteString(s.colourise(text, title) + pad)
		indent += widths[i] + columnGap
	}
	b.WriteString(s.colourise(lines[0], title))
	fmt.Fprintln(s.env.Stdout, strings.TrimRight(b.String(), " "))
	for _, line := range lines[1:] {
		fmt.Fprintln(s.env.Stdout, strings.Repeat(" ", indent)+line)
	}
}

// colourise highlights titles and well-known states on a terminal.
func (s *session) colourise(text string, title bool) string {
	if !s.useColours() || text == "" {
		return text
	}
	switch {
	case title:
		return bold + text + resetStyle
	case text == "ready" || text == "running" || text == "in":
		return green + text + resetStyle
	case text == "out" || text == "silent" || text == "ejected" || text == "failed" || text == "zone-out" || text == "revoked":
		return red + text + resetStyle
	}
	return text
}

// truncate shortens text to width and ends shortened text with an ellipsis.
func truncate(text string, width int) string {
	runes := []rune(text)
	if len(runes) <= width {
		return text
	}
	return string(runes[:max(width-1, 0)]) + "…"
}

// wrap breaks text into lines of at most width, between words where possible.
func wrap(text string, width int) string {
	width = max(width, 1)
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && utf8.RuneCountInString(line)+1+utf8.RuneCountInString(word) <= width {
			line += " " + word
			continue
		}
		if line != "" {
			lines = append(lines, line)
		}
		for utf8.RuneCountInString(word) > width {
			runes := []rune(word)
			lines = append(lines, string(runes[:width]))
			word = string(runes[width:])
		}
		line = word
	}
	return strings.Join(append(lines, line), "\n")
}
