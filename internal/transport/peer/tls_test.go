package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// authority is a certificate authority for a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func (a *authority) issue(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.cert, a.key = a.issue(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

// writeFiles issues a certificate and writes the key files with the given CA certificates.
func (a *authority) writeFiles(dir string, serial int64, trusted ...*authority) *TLSFiles {
	a.t.Helper()
	cert, key := a.issue(&x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := &TLSFiles{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"), ReloadInterval: 1}
	var roots []byte
	for _, ca := range trusted {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw})...)
	}
	for name, text := range map[string][]byte{
		f.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert.Raw}),
		f.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
		f.CA:          roots,
	} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return f
}

// Guards against accepting peers without a certificate of the deployment, and against
// replacements of key files that need a restart or break connections.
func TestTLS(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	withTLS := func(f *TLSFiles) func(*Options) {
		return func(o *Options) { o.TLS, o.Keys = f, nil }
	}
	b := startNode(t, "b", withTLS(oldCA.writeFiles(dir, 2, oldCA)))
	a := startNode(t, "a", withTLS(oldCA.writeFiles(t.TempDir(), 3, oldCA)))
	mustQuery(t, a, b, "x")
	untrusted := startNode(t, "untrusted", withTLS(newCA.writeFiles(t.TempDir(), 4, newCA, oldCA)))
	for _, pair := range [][2]*Node{{untrusted, b}, {startNode(t, "plain", nil), b}, {a, untrusted}, {a, startNode(t, "plain", nil)}} {
		if _, err := pair[0].Call(testContext(t), pair[1].Addr(), peerwire.Query{}); err == nil {
			t.Errorf("%s reached %s", pair[0].self.Name, pair[1].self.Name)
		}
	}
	// A key that does not match its certificate, as in the middle of a replacement.
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	mustQuery(t, startNode(t, "c", withTLS(oldCA.writeFiles(t.TempDir(), 5, oldCA))), b, "y")
	if s := b.Stats(); s.ReloadFailures == 0 {
		t.Error("an unusable key was not counted")
	}
	oldCA.writeFiles(dir, 6, oldCA, newCA)
	mustQuery(t, untrusted, b, "z")
	mustQuery(t, a, b, "still open")
	if s := a.Stats(); s.Dialed != 1 {
		t.Errorf("dialled b %d times", s.Dialed)
	}
	if _, err := Listen(Options{Listen: loopback, Handler: HandlerFunc(echo), TLS: &TLSFiles{Certificate: "missing"}}); err == nil || errors.Is(err, ErrUnreachable) {
		t.Errorf("missing files gave %v", err)
	}
}
