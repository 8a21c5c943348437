package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"bamboowood/internal/settings"
	"bamboowood/internal/tlsconf"
	"bamboowood/internal/wire"
)

// dialer returns the function that opens an agent's session to an entry.
func dialer(files settings.TLS, settingsFile string) (func(context.Context, string) (wire.Session, error), error) {
	if !files.Enabled() {
		return func(ctx context.Context, addr string) (wire.Session, error) { return wire.Dial(ctx, addr, nil) }, nil
	}
	client, err := tlsconf.Client(tlsFiles(files, settingsFile))
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, addr string) (wire.Session, error) {
		config, err := client()
		if err != nil {
			return nil, err
		}
		return wire.Dial(ctx, addr, withServerName(config, addr))
	}, nil
}

// withServerName sets the name that the entry's certificate must match: the host part of its
// address.
func withServerName(config *tls.Config, addr string) *tls.Config {
	if host, _, err := net.SplitHostPort(addr); err == nil {
		config.ServerName = host
	}
	return config
}
