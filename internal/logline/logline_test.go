package logline

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestHandler_FlatObjects(t *testing.T) {
	var out bytes.Buffer
	h := New(&out)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	logger.WithFields(log.Fields{"n": 3, "text": "a \"quoted\"\nline"}).WithError(errors.New("broken")).Warn("hello")
	logger.Debug("below the level")
	h.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 1, lines)
	var line map[string]any
	must.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	delete(line, "time")
	test.Eq(t, map[string]any{
		"level": "warn", "msg": "hello", "n": 3.0, "text": "a \"quoted\"\nline", "error": "broken",
	}, line)
}

// A reader of standard output stalls. Logging must not block, and the dropped lines are counted.
func TestHandler_StalledOutput(t *testing.T) {
	reader, writer := io.Pipe()
	h := New(writer)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	began := time.Now()
	for range 3 * maxQueuedLines {
		logger.Info("line")
	}
	test.Less(t, time.Second, time.Since(began))
	test.GreaterEq(t, maxQueuedLines, h.Dropped())
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	h.Close()
}

func BenchmarkHandler(b *testing.B) {
	h := New(io.Discard)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"task": "5c0e7a21d94b36f8.0.1.17", "run": 2, "agent": "10.1.0.14"}).Info("start ordered")
	}
}
