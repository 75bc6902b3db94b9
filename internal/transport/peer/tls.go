package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// defaultReload is the shortest time between two looks at the key files.
const defaultReload = time.Second

// TLSFiles names the files with the certificate of this instance, its key, and the
// certificates of the authorities of all peers, in PEM.
type TLSFiles struct {
	Certificate string
	Key         string
	CA          string
	// ReloadInterval is the shortest time between two looks at the files, 1 s by
	// default.
	ReloadInterval time.Duration
}

// certificates holds what was last read from the key files. When the files cannot be
// read or do not fit together, as in the middle of a replacement, the last good ones
// remain in use.
type certificates struct {
	files TLSFiles

	mu     sync.Mutex
	looked time.Time
	stamps [3]stamp
	pair   *tls.Certificate
	pool   *x509.CertPool
	failed uint64
}

type stamp struct {
	modified time.Time
	size     int64
}

func loadCertificates(f TLSFiles) (*certificates, error) {
	if f.ReloadInterval <= 0 {
		f.ReloadInterval = defaultReload
	}
	c := &certificates{files: f}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificates) stat() ([3]stamp, error) {
	var out [3]stamp
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return out, errors.Wrap(err, "key file")
		}
		out[i] = stamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (c *certificates) reload() error {
	stamps, err := c.stat()
	if err != nil {
		return err
	}
	if stamps == c.stamps {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	text, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "load authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate", c.files.CA)
	}
	c.stamps, c.pair, c.pool = stamps, &pair, pool
	return nil
}

func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.looked) >= c.files.ReloadInterval {
		c.looked = time.Now()
		if c.reload() != nil {
			c.failed++
		}
	}
	return c.pair, c.pool
}

// config returns the settings for one side of connections. Peers are dialled by IP
// address, which certificates do not name, so the chain is verified here without a
// host name.
func (c *certificates) config(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error { return c.verify(s, usage) },
	}
}

func (c *certificates) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	_, pool := c.current()
	o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, cert := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(cert)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

func (c *certificates) failures() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
