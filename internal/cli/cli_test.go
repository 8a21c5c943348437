package cli

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/statement"
)

// Guards against tables with lines wider than the terminal, and against the loss
// of characters when a cell is wrapped.
func TestPrintTable_FitsWidth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		width := rapid.IntRange(60, 120).Draw(t, "width")
		n := rapid.IntRange(1, 7).Draw(t, "columns")
		var result statement.Result
		for i := range n {
			result.Columns = append(result.Columns, statement.Column{Field: fmt.Sprint("f", i), Title: fmt.Sprint("title", i)})
		}
		text := rapid.StringMatching(`[a-zñ0-9 -]{0,40}`)
		var lastColumn []string
		for range rapid.IntRange(1, 4).Draw(t, "rows") {
			row := map[string]any{}
			for i := range n {
				row[fmt.Sprint("f", i)] = text.Draw(t, "cell")
			}
			lastColumn = append(lastColumn, row[fmt.Sprint("f", n-1)].(string))
			data, err := json.Marshal(row)
			must.NoError(t, err)
			result.Rows = append(result.Rows, data)
		}
		var out bytes.Buffer
		s := &session{env: Env{Stdout: &out, Width: width}}
		must.NoError(t, s.printTable(result))
		for line := range strings.Lines(out.String()) {
			must.LessEq(t, width, utf8.RuneCountInString(strings.TrimRight(line, "\n")))
		}
		if n == 1 {
			printed := strings.Join(strings.Fields(out.String())[1:], "")
			must.Eq(t, strings.ReplaceAll(strings.Join(lastColumn, ""), " ", ""), printed)
		}
	})
}

// serveOneRow answers each statement with one row, whose value has an escape sequence.
func serveOneRow(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, `{"columns":[{"field":"state","title":"state"}],"rows":[{"state":"out\u001b[2J"}]}`)
}

func runCLI(t *testing.T, env Env, args ...string) (int, string) {
	var out bytes.Buffer
	env.Stdin, env.Stdout, env.Stderr = strings.NewReader(""), &out, &out
	if env.Getenv == nil {
		env.Getenv = func(string) string { return "" }
	}
	return Run(t.Context(), args, env), out.String()
}

// Guards against escape sequences in output that is not a terminal, and against
// escape sequences from values, which could control the terminal.
func TestColours(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveOneRow))
	defer server.Close()
	cases := []struct {
		name    string
		env     Env
		colours bool
	}{
		{"pipe", Env{}, false},
		{"terminal", Env{OutTerminal: true}, true},
		{"NO_COLOR", Env{OutTerminal: true, Getenv: func(string) string { return "1" }}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out := runCLI(t, c.env, "--operators", server.URL, "show", "zones")
			must.Eq(t, ExitOK, code)
			must.Eq(t, c.colours, strings.Contains(out, "\x1b"))
			must.StrContains(t, out, `out\x1b[2J`)
			must.StrNotContains(t, out, "\x1b[2J")
		})
	}
}

// Guards against accepting an entry's certificate of an unknown authority, and
// against not presenting the client certificate.
func TestTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(serveOneRow))
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.Config.ErrorLog = nil
	server.StartTLS()
	defer server.Close()
	dir := t.TempDir()
	ca := writePEM(t, dir, "ca.pem", "CERTIFICATE", server.Certificate().Raw)
	cert, key := clientCertificate(t, dir)
	empty := writePEM(t, dir, "empty.pem", "NOTHING", nil)
	cases := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"all files given", []string{"--ca", ca, "--cert", cert, "--key", key}, ExitOK, "state"},
		{"unknown authority", []string{"--cert", cert, "--key", key}, ExitRefused, "certificate"},
		{"no client certificate", []string{"--ca", ca}, ExitRefused, "certificate required"},
		{"key missing", []string{"--ca", ca, "--cert", cert}, ExitUsage, "--cert and --key go together"},
		{"no certificate in the file", []string{"--ca", empty}, ExitUsage, "has no PEM certificate"},
		{"wrong key", []string{"--cert", ca, "--key", key}, ExitUsage, "--cert:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out := runCLI(t, Env{}, append(c.args, "--operators", server.URL, "show", "zones")...)
			must.Eq(t, c.code, code, must.Sprint(out))
			must.StrContains(t, out, c.text)
		})
	}
}

func writePEM(t *testing.T, dir, name, kind string, data []byte) string {
	path := filepath.Join(dir, name)
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	return path
}

func clientCertificate(t *testing.T, dir string) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	must.NoError(t, err)
	return writePEM(t, dir, "cert.pem", "CERTIFICATE", der), writePEM(t, dir, "key.pem", "PRIVATE KEY", keyDER)
}
