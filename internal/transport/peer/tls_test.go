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

// authority issues certificates for a test.
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

// write issues a certificate and writes the key files, trusting the given authorities.
func (a *authority) write(dir string, serial int64, trusted ...*authority) *TLSFiles {
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
	for _, o := range trusted {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: o.cert.Raw})...)
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

// Guards against peers without a certificate of the deployment, and against new key
// files that need a restart or break the connections in between.
func TestTLS(t *testing.T) {
	old, young := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	with := func(f *TLSFiles) func(*Options) {
		return func(o *Options) { o.TLS, o.Keys = f, nil }
	}
	b := listen(t, "b", with(old.write(dir, 2, old)))
	a := listen(t, "a", with(old.write(t.TempDir(), 3, old)))
	query(t, a, b, "x")
	stranger := listen(t, "stranger", with(young.write(t.TempDir(), 4, young, old)))
	for _, pair := range [][2]*Node{{stranger, b}, {listen(t, "plain", nil), b}, {a, stranger}, {a, listen(t, "plain", nil)}} {
		if _, err := pair[0].Call(testContext(t), pair[1].Addr(), peerwire.Query{}); err == nil {
			t.Errorf("%s reached %s", pair[0].self.Name, pair[1].self.Name)
		}
	}
	// A key that does not fit its certificate, as in the middle of a replacement.
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	query(t, listen(t, "c", with(old.write(t.TempDir(), 5, old))), b, "y")
	if s := b.Stats(); s.ReloadFailures == 0 {
		t.Error("an unusable key was not counted")
	}
	old.write(dir, 6, old, young)
	query(t, stranger, b, "z")
	query(t, a, b, "still open")
	if s := a.Stats(); s.Dialed != 1 {
		t.Errorf("dialled b %d times", s.Dialed)
	}
	if _, err := Listen(Options{Listen: loopback, Handler: HandlerFunc(echo), TLS: &TLSFiles{Certificate: "missing"}}); err == nil || errors.Is(err, ErrUnreachable) {
		t.Errorf("missing files gave %v", err)
	}
}
