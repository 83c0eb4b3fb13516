// Package rlbtls secures listeners and connections with TLS if certificates are
// configured. Changed files are reloaded, so that certificates are replaced
// without a restart; established connections keep their certificate.
package rlbtls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindRead       Kind = iota // a file cannot be read or holds no certificate or key
	KindIncomplete             // a file that the others require is not configured
)

// String returns the text of the kind for error messages.
func (k Kind) String() string {
	return [...]string{"cannot read certificates", "incomplete configuration"}[k]
}

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Files holds the paths of PEM files: certificate, private key and CA. Without
// a CA, peers need no certificate.
type Files struct {
	Cert, Key, CA string
}

// Credentials holds a certificate and a CA pool and reloads them when a file
// changes. A nil *Credentials means plain TCP.
type Credentials struct {
	files          Files
	mu             sync.Mutex
	loadedModTimes [3]time.Time // of the files in use
	cert           *tls.Certificate
	pool           *x509.CertPool
}

// Load reads the credentials; it returns nil if no files are configured.
func Load(files Files) (*Credentials, error) {
	if files == (Files{}) {
		return nil, nil
	}
	if files.Cert == "" || files.Key == "" {
		return nil, rlberror.Newf("load certificates", KindIncomplete, "cert and key must be set together")
	}
	c := &Credentials{files: files}
	_, _, err := c.current()
	return c, err
}

// LoadControl reads the credentials of control and operator connections, which
// the section [keys] configures.
func LoadControl(s *rlbsettings.Settings) (*Credentials, error) {
	files := Files{s.Text(rlbsettings.KeysCert), s.Text(rlbsettings.KeysKey), s.Text(rlbsettings.KeysCA)}
	if files != (Files{}) && files.CA == "" {
		return nil, rlberror.Newf("load certificates", KindIncomplete, "[keys] requires ca: without it any peer could join the fleet")
	}
	return Load(files)
}

// current returns the credentials, reloading them if a file has changed. If the
// reload fails, the previous credentials stay in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modTimes, err := c.modTimes()
	if err == nil && modTimes != c.loadedModTimes {
		err = c.readFiles()
		if err == nil {
			c.loadedModTimes = modTimes
		}
	}
	if err != nil && c.cert == nil {
		return nil, nil, rlberror.New("load certificates", KindRead, err)
	}
	return c.cert, c.pool, nil
}

func (c *Credentials) modTimes() (times [3]time.Time, err error) {
	for i, path := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return times, err
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (c *Credentials) readFiles() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return err
	}
	var pool *x509.CertPool
	if c.files.CA != "" {
		text, err := os.ReadFile(c.files.CA)
		if err != nil {
			return err
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return fmt.Errorf("%s contains no certificate", c.files.CA)
		}
	}
	c.cert, c.pool = &cert, pool
	return nil
}

// WrapListener returns listener with TLS, or listener itself if c is nil. With a
// CA it accepts only peers whose certificate is signed by the CA.
func (c *Credentials) WrapListener(listener net.Listener) net.Listener {
	if c == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := c.current()
			if err != nil {
				return nil, err
			}
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return config, nil
		},
	})
}

// ClientConfig returns the TLS configuration of outgoing connections, or nil if
// c is nil.
func (c *Credentials) ClientConfig() (*tls.Config, error) {
	if c == nil {
		return nil, nil
	}
	cert, pool, err := c.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool}, nil
}

// Dialer connects to an address.
type Dialer = func(ctx context.Context, address string) (net.Conn, error)

// WrapDialer returns dial with TLS, or dial itself if c is nil. The certificate
// of the peer must be valid for the IP address that is dialed.
func (c *Credentials) WrapDialer(dial Dialer) Dialer {
	if c == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		config, err := c.ClientConfig()
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		tlsConn := tls.Client(conn, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return tlsConn, nil
	}
}
