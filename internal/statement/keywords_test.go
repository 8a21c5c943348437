package statement

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against keywords that differ from the grammar: errors and completions
// would then omit a valid word or offer an invalid one.
func TestKeywords_MatchGrammar(t *testing.T) {
	var words []string
	for _, k := range keywords {
		words = append(words, strings.Fields(k)...)
	}
	var literals []string
	for _, m := range regexp.MustCompile(`"([a-z]+)"`).FindAllStringSubmatch(parser.String(), -1) {
		literals = append(literals, m[1])
		must.SliceContains(t, words, m[1])
	}
	for _, w := range words {
		must.True(t, slices.Contains(literals, w), must.Sprint(w))
	}
}
