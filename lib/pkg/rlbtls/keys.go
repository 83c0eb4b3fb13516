// Package rlbtls secures listeners and connections with TLS when settings name
// keys. Files are read again when they change, so that keys are replaced without
// a restart; connections that stand keep theirs.
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

// Kind is the kind of a failure.
type Kind int

// The kinds of failures.
const (
	KindRead       Kind = iota // a file cannot be read or holds no key
	KindIncomplete             // some of the keys that belong together are missing
)

// String names the kind.
func (k Kind) String() string { return [...]string{"cannot read keys", "keys are incomplete"}[k] }

// Error is this package's error.
type Error = rlberror.Error[Kind]

// Files name the PEM files of one purpose. Without CA, peers need no
// certificate.
type Files struct {
	Cert, Key, CA string
}

// Credentials are the keys of one purpose, read again when a file changes. A nil *Keys
// means plain TCP.
type Credentials struct {
	files  Files
	mu     sync.Mutex
	loaded [3]time.Time // modification times of what is loaded
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// Load reads keys; nil when the files name none.
func Load(files Files) (*Credentials, error) {
	if files == (Files{}) {
		return nil, nil
	}
	if files.Cert == "" || files.Key == "" {
		return nil, rlberror.Newf("load keys", KindIncomplete, "cert and key belong together")
	}
	k := &Credentials{files: files}
	_, _, err := k.current()
	return k, err
}

// LoadControl reads the keys of control links and operators from the [keys] section.
func LoadControl(s *rlbsettings.Settings) (*Credentials, error) {
	files := Files{s.Text(rlbsettings.KeysCert), s.Text(rlbsettings.KeysKey), s.Text(rlbsettings.KeysCA)}
	if files != (Files{}) && files.CA == "" {
		return nil, rlberror.Newf("load keys", KindIncomplete, "[keys] needs ca, or strangers could join")
	}
	return Load(files)
}

// current returns the keys, read again if a file has changed. Keys that cannot
// be read again leave the former ones in use.
func (k *Credentials) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed, err := k.times()
	if err == nil && changed != k.loaded {
		err = k.read()
		if err == nil {
			k.loaded = changed
		}
	}
	if err != nil && k.cert == nil {
		return nil, nil, rlberror.New("load keys", KindRead, err)
	}
	return k.cert, k.pool, nil
}

func (k *Credentials) times() (times [3]time.Time, err error) {
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.CA} {
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

func (k *Credentials) read() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return err
	}
	var pool *x509.CertPool
	if k.files.CA != "" {
		text, err := os.ReadFile(k.files.CA)
		if err != nil {
			return err
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return fmt.Errorf("%s holds no certificate", k.files.CA)
		}
	}
	k.cert, k.pool = &cert, pool
	return nil
}

// WrapListener returns listener with TLS, or as it is without keys. With a CA it
// takes only peers whose certificate the CA signed.
func (k *Credentials) WrapListener(listener net.Listener) net.Listener {
	if k == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := k.current()
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

// ClientConfig returns the configuration of connections to peers, or nil without
// keys.
func (k *Credentials) ClientConfig() (*tls.Config, error) {
	if k == nil {
		return nil, nil
	}
	cert, pool, err := k.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool}, nil
}

// Dialer opens a connection to an address.
type Dialer = func(ctx context.Context, address string) (net.Conn, error)

// WrapDialer returns dial with TLS, or as it is without keys. The peer's certificate
// must name the address's IP number.
func (k *Credentials) WrapDialer(dial Dialer) Dialer {
	if k == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		config, err := k.ClientConfig()
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
		secured := tls.Client(conn, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return secured, nil
	}
}
