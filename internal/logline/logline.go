// Package logline writes log entries as flat JSON objects, one per line. Logging never blocks
// on the output.
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// maxQueuedLines bounds the lines that wait for the output; further lines are dropped and
	// counted.
	maxQueuedLines = 4096
	// bufferBytes is the size of the output buffer, which is also flushed when the queue is
	// empty.
	bufferBytes = 32 << 10
)

// Handler implements log.Handler. It is safe for concurrent use.
type Handler struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	close   sync.Once
}

// New returns a handler that writes to w from its own goroutine. Close ends the goroutine.
func New(w io.Writer) *Handler {
	h := &Handler{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	metrics.GetOrCreateGauge("bamboowood_log_lines_dropped_total", func() float64 { return float64(h.dropped.Load()) })
	go h.write(w)
	return h
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	select {
	case h.lines <- encode(e):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of dropped lines.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

// closeTimeout bounds how long Close waits for the output.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, waiting at most closeTimeout for the output. Later entries are
// lost.
func (h *Handler) Close() {
	h.close.Do(func() { close(h.stop) })
	select {
	case <-h.done:
	case <-time.After(closeTimeout):
	}
}

func (h *Handler) write(w io.Writer) {
	defer close(h.done)
	out := bufio.NewWriterSize(w, bufferBytes)
	var reportedDrops int64
	for {
		var line []byte
		select {
		case line = <-h.lines:
		default:
			// A failed write cannot be reported, since this is the log output.
			_ = out.Flush()
			select {
			case line = <-h.lines:
			case <-h.stop:
				// A line may have been queued since the flush began.
				for len(h.lines) > 0 {
					_, _ = out.Write(<-h.lines)
				}
				_ = out.Flush()
				return
			}
		}
		if n := h.dropped.Load(); n > reportedDrops {
			fmt.Fprintf(out, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n-reportedDrops)
			reportedDrops = n
		}
		_, _ = out.Write(line) // the next Flush returns the error of a failed write
	}
}

// encode returns the entry as one line: level, time and msg, then the fields sorted by name.
func encode(e *log.Entry) []byte {
	var b bytes.Buffer
	b.WriteString(`{"level":`)
	b.WriteString(strconv.Quote(e.Level.String()))
	b.WriteString(`,"time":`)
	b.WriteString(strconv.Quote(e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z")))
	b.WriteString(`,"msg":`)
	writeValue(&b, e.Message)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.WriteByte(',')
		writeValue(&b, name)
		b.WriteByte(':')
		writeValue(&b, e.Fields[name])
	}
	b.WriteString("}\n")
	return b.Bytes()
}

func writeValue(b *bytes.Buffer, v any) {
	if err, ok := v.(error); ok {
		v = err.Error()
	}
	data, err := json.Marshal(v)
	if err != nil {
		data = []byte(strconv.Quote(fmt.Sprint(v)))
	}
	b.Write(data)
}
