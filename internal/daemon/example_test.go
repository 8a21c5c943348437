package daemon_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/daemon"
	"bamboowood/internal/settings"
)

// Guards against committed examples that are invalid or differ from the output of the example
// command.
func TestExamples_AreCurrentAndValid(t *testing.T) {
	for name, deployment := range daemon.Deployments {
		dir := filepath.Join("..", "..", "examples", name)
		files, err := daemon.ExampleFiles(deployment)
		must.NoError(t, err)
		entries, err := os.ReadDir(dir)
		must.NoError(t, err)
		must.Eq(t, len(files), len(entries), must.Sprintf("files in %s", dir))
		for file, want := range files {
			path := filepath.Join(dir, file)
			got, err := os.ReadFile(path)
			must.NoError(t, err)
			must.Eq(t, string(want), string(got), must.Sprintf("%s: regenerate it with the example command", path))
			if strings.HasSuffix(file, ".toml") {
				_, err = settings.Check(path)
				must.NoError(t, err)
			}
		}
	}
}
