package client

import (
	"testing"

	"github.com/shoenig/test"
)

func TestAddress(t *testing.T) {
	for in, want := range map[string]string{
		"127.0.0.1:7481":          "http://127.0.0.1:7481",
		"[::1]:7481":              "http://[::1]:7481",
		"http://127.0.0.1:7481":   "http://127.0.0.1:7481",
		"https://entry.example:1": "https://entry.example:1",
	} {
		got, err := Address(in)
		test.NoError(t, err)
		test.Eq(t, want, got)
	}
	for _, in := range []string{"", "127.0.0.1", ":7481", "ftp://x:1", "http://", "x:"} {
		_, err := Address(in)
		test.ErrorContains(t, err, "want HOST:PORT", test.Sprint(in))
	}
}
