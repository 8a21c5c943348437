package statement

import (
	"errors"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
)

// keywords are all literal words of the grammar, in the order in which errors
// and completions list them.
var keywords = []string{
	"show", "explain", "drain", "refill", "stop", "cancel", "set", "create", "submit", "undo", "dry run",
	"tasks", "jobs", "watches", "services", "upstreams", "workers", "zones", "teams", "entries", "alarms",
	"changes", "capacity", "zone", "rack", "team", "task", "job", "watch", "worker", "service", "quota",
	"where", "and", "order by", "by", "desc", "asc", "limit", "force", "confirm",
}

// placeholder is the probe word that stands for any name chosen by an operator.
const placeholder = "zzzzzz"

// operators are the comparison operators; assignments use "=" only.
var operators = []string{"=", "!=", "<", "<=", ">", ">=", "~"}

// maxProbeBytes bounds the prefixes for which ExpectedAfter probes each word.
const maxProbeBytes = 1 << 10

// ExpectedAfter returns what may follow the prefix of a statement: keywords,
// fields or a description in angle brackets. It returns nil for a prefix longer
// than maxProbeBytes.
func ExpectedAfter(prefix string) []string {
	if len(prefix) > maxProbeBytes {
		return nil
	}
	if accepts(prefix, placeholder) {
		return namesAfter(prefix)
	}
	var expected []string
	for _, group := range [][]string{keywords, operators} {
		for _, candidate := range group {
			if accepts(prefix, candidate) {
				expected = append(expected, candidate)
			}
		}
	}
	if words := strings.Fields(strings.ToLower(prefix)); len(expected) == 0 {
		return keysAfter(words)
	}
	return expected
}

// accepts reports whether the grammar allows word after prefix: parsing both
// succeeds, or fails only after the word.
func accepts(prefix, word string) bool {
	text := prefix + " " + word
	_, err := parser.ParseString("", text)
	var pe participle.Error
	if errors.As(err, &pe) {
		return pe.Position().Offset >= len(text)
	}
	return err == nil
}

// namesAfter returns the names that may follow prefix, or their description in angle brackets.
func namesAfter(prefix string) []string {
	words := strings.Fields(strings.ToLower(prefix))
	if len(words) == 0 {
		return nil
	}
	last := words[len(words)-1]
	switch {
	case slices.Contains([]string{"where", "and", "by"}, last):
		return fieldNames(tableOf(words))
	case slices.Contains(operators, last):
		return []string{"<value>"}
	case last == "limit":
		return []string{"<number>"}
	case last == "undo":
		return []string{"<change>"}
	}
	if keys := keysAfter(words); keys != nil {
		return keys
	}
	return []string{"<" + last + ">"}
}

func tableOf(words []string) string {
	for _, w := range words {
		if _, ok := Tables[w]; ok {
			return w
		}
	}
	return ""
}

// keysAfter returns the assignment keys that may follow words, or nil if no
// assignment may follow yet.
func keysAfter(words []string) []string {
	words = slices.DeleteFunc(slices.Clone(words), func(w string) bool { return w == "dry" || w == "run" })
	if len(words) < 3 {
		return nil
	}
	switch words[0] + " " + words[1] {
	case "set service", "create service":
		return serviceKeys
	case "set team", "create team":
		return quotaKeys
	case "create watch":
		return watchKeys
	case "submit job":
		return jobKeys
	}
	return nil
}

// Nearest returns the candidate with the smallest edit distance to word, or ""
// if none is similar enough to be suggested.
func Nearest(word string, candidates []string) string {
	word = strings.ToLower(word)
	best, bestDistance := "", len(word)/3+2
	for _, c := range candidates {
		if strings.HasPrefix(c, "<") || word == "" {
			continue
		}
		if d := editDistance(word, strings.ToLower(c)); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// maxEditDistanceBytes bounds the words that editDistance compares.
const maxEditDistanceBytes = 64

// editDistance returns the Levenshtein distance of two words.
func editDistance(a, b string) int {
	if len(a) > maxEditDistanceBytes || len(b) > maxEditDistanceBytes {
		return maxEditDistanceBytes
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
