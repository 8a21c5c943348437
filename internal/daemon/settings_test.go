package daemon

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against a process that exits because it starts while its settings file is being written.
func TestLoadNode_FileIsBeingWritten(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "node.toml")
	must.NoError(t, os.WriteFile(path, nil, 0o600))
	written := make(chan error, 1)
	go func() {
		time.Sleep(5 * settingsRetryPause)
		written <- os.WriteFile(path, []byte("ip = \"10.1.0.14\"\nportRange = [7720,7735]\n[platform]\naddress = \"10.200.1.7:8169\"\n"), 0o600)
	}()
	node, err := loadNode(path)
	must.NoError(t, <-written)
	must.NoError(t, err)
	test.Eq(t, "10.1.0.14", node.IP)
}

// Settings that stay incomplete are an error, and a file that does not exist is one at once.
func TestLoadNode_Incomplete(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "node.toml")
	began := time.Now()
	_, err := loadNode(path)
	test.ErrorIs(t, err, os.ErrNotExist)
	test.Less(t, settingsWait, time.Since(began))
	must.NoError(t, os.WriteFile(path, []byte("ip ="), 0o600))
	_, err = loadNode(path)
	test.Error(t, err)
}
