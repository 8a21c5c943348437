package cli

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// tlsConfig returns the client's TLS configuration. Empty file names are ignored.
func tlsConfig(ca, cert, key string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca != "" {
		pem, err := os.ReadFile(ca)
		if err != nil {
			return nil, fmt.Errorf("--ca: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("--ca: %s has no PEM certificate", ca)
		}
	}
	if (cert == "") != (key == "") {
		return nil, errors.New("--cert and --key go together")
	}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, fmt.Errorf("--cert: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
