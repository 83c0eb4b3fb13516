package rlbtls

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	. "github.com/smartystreets/goconvey/convey"
)

// testCA issues certificates for 127.0.0.1.
type testCA struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	path string
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func writePEM(path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		panic(err)
	}
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{key: must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader)), path: filepath.Join(t.TempDir(), "ca.pem")}
	ca := template(1)
	ca.IsCA, ca.KeyUsage = true, x509.KeyUsageCertSign
	der := must(x509.CreateCertificate(rand.Reader, ca, ca, &a.key.PublicKey, a.key))
	a.cert = must(x509.ParseCertificate(der))
	writePEM(a.path, "CERTIFICATE", der)
	return a
}

// issue writes a certificate and its private key to files.
func (a *testCA) issue(files Files, serial int64) {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	writePEM(files.Cert, "CERTIFICATE", must(x509.CreateCertificate(rand.Reader, template(serial), a.cert, &key.PublicKey, a.key)))
	writePEM(files.Key, "PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(key)))
}

func (a *testCA) files(t *testing.T, serial int64) Files {
	dir := t.TempDir()
	files := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), a.path}
	a.issue(files, serial)
	return files
}

// dialAndRead connects to address and reads one byte.
func dialAndRead(client *Credentials, address string) error {
	dial := client.WrapDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	conn, err := dial(context.Background(), address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestMutualTLS(t *testing.T) {
	fleetCA, otherCA := newTestCA(t), newTestCA(t)
	serverFiles := fleetCA.files(t, 2)
	server := must(Load(serverFiles))
	listener := server.WrapListener(must(net.Listen("tcp", "127.0.0.1:0")))
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Write([]byte("x"))
				_ = conn.Close()
			}()
		}
	}()
	address := listener.Addr().String()
	Convey("a peer with a certificate of the same CA is accepted", t, func() {
		So(dialAndRead(must(Load(fleetCA.files(t, 3))), address), ShouldBeNil)
	})
	Convey("peers with a certificate of another CA or without a certificate are refused", t, func() {
		otherCert := otherCA.files(t, 4)
		otherCert.CA = fleetCA.path // the client trusts the server, but the server does not trust the client
		So(dialAndRead(must(Load(otherCert)), address), ShouldNotBeNil)
		var noCredentials *Credentials
		conn := must(net.Dial("tcp", address))
		_, _ = conn.Write([]byte("hello\n"))
		_, err := io.ReadFull(conn, make([]byte, 1000))
		So(err, ShouldNotBeNil)
		So(noCredentials.WrapListener(listener), ShouldEqual, listener)
	})
	Convey("a server with a certificate of another CA is refused", t, func() {
		So(dialAndRead(must(Load(otherCA.files(t, 5))), address), ShouldNotBeNil)
	})
	Convey("replaced certificates are loaded without a restart; invalid ones leave the previous in use", t, func() {
		later := time.Now().Add(time.Minute)
		fleetCA.issue(serverFiles, 77)
		So(os.Chtimes(serverFiles.Cert, later, later), ShouldBeNil)
		So(os.Chtimes(serverFiles.Key, later, later), ShouldBeNil)
		cert, _, err := server.current()
		So(err, ShouldBeNil)
		So(cert.Leaf.SerialNumber.Int64(), ShouldEqual, 77)
		So(os.WriteFile(serverFiles.Cert, []byte("broken"), 0o600), ShouldBeNil)
		So(dialAndRead(must(Load(fleetCA.files(t, 6))), address), ShouldBeNil)
	})
}

func TestLoad(t *testing.T) {
	Convey("without files there are no credentials", t, func() {
		credentials, err := Load(Files{})
		So(err, ShouldBeNil)
		So(credentials, ShouldBeNil)
	})
	Convey("missing settings and unreadable files are reported", t, func() {
		_, err := Load(Files{Cert: "x"})
		So(rlberror.Is(err, KindIncomplete), ShouldBeTrue)
		_, err = Load(Files{Cert: "/nowhere", Key: "/nowhere"})
		So(rlberror.Is(err, KindRead), ShouldBeTrue)
		s := must(rlbsettings.Parse("s", []byte("[keys]\ncert = a\nkey = b\n"), rlbsettings.ForController))
		_, err = LoadControl(s)
		So(rlberror.Is(err, KindIncomplete), ShouldBeTrue)
	})
}
