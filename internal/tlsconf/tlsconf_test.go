package tlsconf_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/tlsconf"
	"bamboowood/internal/tlstest"
)

// handshake connects a client to a server over an in-memory connection. It returns the
// serial number of the server's certificate as received by the client.
func handshake(server, client *tls.Config) (int64, error) {
	clientSide, serverSide := net.Pipe()
	defer clientSide.Close()
	result := make(chan error, 1)
	go func() {
		conn := tls.Server(serverSide, server)
		err := conn.Handshake()
		_ = serverSide.Close()
		result <- err
	}()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	conn := tls.Client(clientSide, client)
	err := conn.Handshake()
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	if serverErr := <-result; serverErr != nil {
		return 0, serverErr
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLS(t *testing.T) {
	ca, untrustedCA := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, err := tlsconf.Server(ca.Issue(t, t.TempDir(), 2))
	must.NoError(t, err)
	clientFiles := ca.Issue(t, t.TempDir(), 3)
	client, err := tlsconf.Client(clientFiles)
	must.NoError(t, err)
	untrustedFiles := untrustedCA.Issue(t, t.TempDir(), 4)
	untrustedFiles.CA = clientFiles.CA
	untrustedClient, err := tlsconf.Client(untrustedFiles)
	must.NoError(t, err)

	cases := []struct {
		name   string
		client func() (*tls.Config, error)
		ok     bool
	}{
		{"signed by the authority", client, true},
		{"signed by another authority", untrustedClient, false},
		{"no certificate", func() (*tls.Config, error) {
			c, err := client()
			c.Certificates = nil
			return c, err
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config, err := c.client()
			must.NoError(t, err)
			_, err = handshake(server, config)
			must.Eq(t, c.ok, err == nil)
		})
	}
}

// New connections are served the certificate of changed files. If a changed file is
// malformed, the previous certificate is still served.
func TestServer_ReloadsChangedFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, dir := tlstest.NewAuthority(t), t.TempDir()
		files := ca.Issue(t, dir, 10)
		server, err := tlsconf.Server(files)
		must.NoError(t, err)
		client, err := tlsconf.Client(ca.Issue(t, t.TempDir(), 11))
		must.NoError(t, err)
		servedSerial := func() int64 {
			config, err := client()
			must.NoError(t, err)
			serial, err := handshake(server, config)
			must.NoError(t, err)
			return serial
		}
		changed := time.Now()
		// touch sets a new modification time and waits for longer than the interval
		// between checks.
		touch := func() {
			changed = changed.Add(time.Minute)
			must.NoError(t, os.Chtimes(files.Cert, changed, changed))
			<-time.After(2 * time.Second)
		}
		must.Eq(t, 10, servedSerial())

		ca.Issue(t, dir, 12)
		touch()
		must.Eq(t, 12, servedSerial())

		must.NoError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
		touch()
		must.Eq(t, 12, servedSerial())
	})
}
