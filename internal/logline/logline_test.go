package logline

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
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

// gatedWriter blocks each write until the gate is closed, and reports the first one.
type gatedWriter struct {
	bytes.Buffer
	began, gate chan struct{}
	first       sync.Once
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	w.first.Do(func() { close(w.began) })
	<-w.gate
	return w.Buffer.Write(p)
}

// Guards against a process that loses its last log line: one that was queued while the lines before it
// were written, when the handler was closed.
func TestHandler_CloseWritesLineQueuedDuringFlush(t *testing.T) {
	for range 20 {
		w := &gatedWriter{began: make(chan struct{}), gate: make(chan struct{})}
		h := New(w)
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		logger.Info("leaving")
		<-w.began
		logger.Info("left")
		time.AfterFunc(10*time.Millisecond, func() { close(w.gate) })
		h.Close()
		must.StrContains(t, w.String(), `"msg":"left"`)
	}
}
