package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// defaultReloadInterval is the default shortest time between two checks of the key files.
const defaultReloadInterval = time.Second

// TLSFiles names the PEM files with the certificate of this instance, its private key, and
// the CA certificates of all peers.
type TLSFiles struct {
	Certificate string
	Key         string
	CA          string
	// ReloadInterval is the shortest time between two checks of the files, 1 s by default.
	ReloadInterval time.Duration
}

// certificates holds the last valid contents of the key files. When the files cannot be read
// or do not match each other, as in the middle of a replacement, the previous contents stay
// in use.
type certificates struct {
	files TLSFiles

	mu            sync.Mutex
	lastChecked   time.Time
	stamps        [3]fileStamp
	keyPair       *tls.Certificate
	roots         *x509.CertPool
	failedReloads uint64
}

type fileStamp struct {
	modified time.Time
	size     int64
}

func loadCertificates(f TLSFiles) (*certificates, error) {
	if f.ReloadInterval <= 0 {
		f.ReloadInterval = defaultReloadInterval
	}
	c := &certificates{files: f}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificates) statFiles() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		fileInfo, err := os.Stat(name)
		if err != nil {
			return out, errors.Wrap(err, "check key file")
		}
		out[i] = fileStamp{fileInfo.ModTime(), fileInfo.Size()}
	}
	return out, nil
}

func (c *certificates) reload() error {
	stamps, err := c.statFiles()
	if err != nil {
		return err
	}
	if stamps == c.stamps {
		return nil
	}
	keyPair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	pemData, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "load CA certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pemData) {
		return errors.Errorf("%s holds no certificate", c.files.CA)
	}
	c.stamps, c.keyPair, c.roots = stamps, &keyPair, roots
	return nil
}

func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastChecked) >= c.files.ReloadInterval {
		c.lastChecked = time.Now()
		if c.reload() != nil {
			c.failedReloads++
		}
	}
	return c.keyPair, c.roots
}

// config returns the TLS configuration for one side of a connection. Peers are dialled by IP
// address, which the certificates do not contain, so [certificates.verify] checks the chain
// without a host name.
func (c *certificates) config(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			keyPair, _ := c.current()
			return keyPair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			keyPair, _ := c.current()
			return keyPair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error { return c.verify(s, usage) },
	}
}

func (c *certificates) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	_, roots := c.current()
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, cert := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := s.PeerCertificates[0].Verify(opts)
	return err
}

func (c *certificates) reloadFailures() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedReloads
}
