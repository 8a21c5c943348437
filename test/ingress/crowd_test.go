package ingress

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// cutBytes is how much of an unfinished body is missing.
const cutBytes = 100

// wholeEvery is the share of clients that send a whole body: one of so many.
const wholeEvery = 8

// way is how the clients of a crowd send their bodies.
type way struct {
	name string
	// chunk is the size of a chunk, 0 for a body of declared length.
	chunk int
	// pieces is the number of parts of which each client sends the next one only once all clients have
	// sent the one before.
	pieces int
	// whole makes all clients, instead of one of wholeEvery, send their whole body.
	whole bool
	// raw returns what a client sends if that is no body. head is the start of its request.
	raw func(head string) string
}

var ways = []way{
	{name: "at once", pieces: 1},
	{name: "piece by piece", pieces: 8},
	{name: "large chunks", chunk: 64 << 10, pieces: 1},
	{name: "very small chunks", chunk: 16, pieces: 1},
	{name: "very small chunks, piece by piece", chunk: 16, pieces: 8},
	{name: "whole bodies", pieces: 1, whole: true},
}

// silent are clients that send only the first byte of a request.
var silent = way{name: "silent", raw: func(string) string { return "G" }}

// otherWays are ways without bodies of legal size.
var otherWays = []way{
	{name: "unfinished headers", raw: func(head string) string { return head + "X: " + strings.Repeat("x", 900<<10) }},
	{name: "query string", raw: func(string) string { return "GET /?" + strings.Repeat("x", 900<<10) }},
	{name: "unread responses", raw: func(head string) string {
		return strings.Repeat(head+"Content-Length: 2\r\n\r\n{}", 2000)
	}},
	{name: "trailer without an end", raw: func(head string) string {
		return head + "Transfer-Encoding: chunked\r\n\r\n2;x=" + strings.Repeat("x", 2000) + "\r\n{}\r\n0\r\nX: "
	}},
}

// target is where the clients of a crowd send their requests.
type target struct {
	name, address string
	// head returns the request line and the headers of the i-th client, besides those of the body.
	head func(i int) string
	body []byte
}

// requestTo returns the head of a request; path may have a verb for the number of the client.
func requestTo(method, path string, headers ...string) func(i int) string {
	return func(i int) string {
		if strings.Contains(path, "%") {
			path := fmt.Sprintf(path, i)
			return requestHead(method, path, headers)
		}
		return requestHead(method, path, headers)
	}
}

func requestHead(method, path string, headers []string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: a.example"}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// pad returns text, which ends in a closing brace, with as much white space before it as it takes for
// size bytes.
func pad(text string, size int) []byte {
	return []byte(text[:len(text)-1] + strings.Repeat(" ", size-len(text)) + "}")
}

// payload returns the base64 form of n bytes.
func payload(n int) string { return base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("x"), n)) }

// messages returns the pieces that a whole and an unfinished client send after the request line and the
// headers.
func (w way) messages(body []byte) (headers string, whole, unfinished [][]byte) {
	cut := body[:len(body)-cutBytes]
	if w.chunk == 0 {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), w.split(body), w.split(cut)
	}
	end := append(chunked(body, w.chunk), "0\r\n\r\n"...)
	return "Transfer-Encoding: chunked\r\n\r\n", w.split(end), w.split(chunked(cut, w.chunk))
}

func (w way) split(data []byte) [][]byte {
	var pieces [][]byte
	for k := range w.pieces {
		n := len(data)
		pieces = append(pieces, data[n*k/w.pieces:n*(k+1)/w.pieces])
	}
	return pieces
}

func chunked(data []byte, size int) []byte {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return b.Bytes()
}

// send sends a crowd of n clients, whose connections stay open until the test ends.
func (c target) send(t *testing.T, n int, w way) {
	if w.raw != nil {
		sendAll(t, c.address, n, func(i int) [][]byte { return [][]byte{[]byte(w.raw(c.head(i)))} })
		return
	}
	headers, whole, unfinished := w.messages(c.body)
	sendAll(t, c.address, n, func(i int) [][]byte {
		pieces := unfinished
		if w.whole || i%wholeEvery == 0 {
			pieces = whole
		}
		return append([][]byte{[]byte(c.head(i) + headers)}, pieces...)
	})
}

// Guards against a process on the platform that runs out of memory or descriptors by unfinished bodies on
// any of its listeners, with whole bodies among them.
func TestIngress_PlatformListeners(t *testing.T) {
	body := pad(ordinaryJob, bodyLimit)
	report := pad(`{"service":"desk","address":"127.0.0.1:1","zone":"z1","state":"ready","capacity":{"cpu":1,"memMb":1}}`, 64<<10)
	for _, c := range []struct {
		role string
		target
	}{
		{"entry", target{"callers", callers, requestTo("POST", "/x/%016x"), body}},
		{"entry", target{"readiness", readiness, requestTo("POST", "/"), body}},
		{"entry", target{"metrics", metrics, requestTo("POST", "/metrics"), body}},
		{"entry", target{"peers", peers, requestTo("POST", "/"), body}},
		{"agent", target{"reports", reports, requestTo("PUT", "/instances/i%d"), report}},
		{"agent", target{"metrics", metrics, requestTo("POST", "/metrics"), body}},
		{"agent", target{"peers", peers, requestTo("POST", "/"), body}},
	} {
		for _, w := range ways {
			t.Run(c.role+"/"+c.name+"/"+w.name, func(t *testing.T) {
				p := start(t, c.role)
				c.send(t, crowd, w)
				if c.role == "entry" {
					p.check(submitOrdinary)
				} else {
					p.check(func() error { return request(http.MethodGet, metrics, "/metrics", "") })
				}
			})
		}
	}
}
