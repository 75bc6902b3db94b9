package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// certificateAuthority is a CA that issues certificates for a test.
type certificateAuthority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	ca := &certificateAuthority{t: t}
	ca.cert, ca.key = ca.issue(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return ca
}

func (ca *certificateAuthority) issue(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	ca.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		ca.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		ca.t.Fatal(err)
	}
	return cert, key
}

// issueFiles issues a certificate for one instance and writes it, its key and the
// certificate of the CA that the instance trusts to a temporary directory.
func (ca *certificateAuthority) issueFiles(trusted *certificateAuthority) *peer.TLSFiles {
	ca.t.Helper()
	cert, key := ca.issue(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	folder := ca.t.TempDir()
	writePEM := func(name, blockType string, der []byte) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
			ca.t.Fatal(err)
		}
		return file
	}
	return &peer.TLSFiles{
		Certificate: writePEM("cert.pem", "CERTIFICATE", cert.Raw),
		Key:         writePEM("key.pem", "EC PRIVATE KEY", der),
		CA:          writePEM("ca.pem", "CERTIFICATE", trusted.cert.Raw),
	}
}

// startTLSDaemon starts daemon i in failure domain a.
func (region *testRegion) startTLSDaemon(i int, files *peer.TLSFiles, platformAddress string) *process {
	region.t.Helper()
	var seeds []string
	for _, d := range region.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", d.fields["gossip"]))
	}
	return startProcess(region.t, "daemon", "--settings", writeTempFile(region.t, "settings.yaml", fmt.Sprintf(`instance: entry-%d
failure_domain: a
callers: {address: "127.0.0.1:0"}
operations: {address: "127.0.0.2:0"}
peers:
  address: "127.0.0.1:0"
  gossip: "127.0.0.1:0"
  seeds: [%s]
  key_file: %s
  tls: {certificate: %s, key: %s, ca: %s}
platform: {address: "%s"}
`, i, strings.Join(seeds, ", "), region.keyFile, files.Certificate, files.Key, files.CA, platformAddress)))
}

// unusedAddress returns a loopback address with no listener.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// pullConfiguration requests the configuration of a daemon over a connection with the given
// certificate.
func pullConfiguration(t *testing.T, files *peer.TLSFiles, address string) error {
	t.Helper()
	node, err := peer.Listen(peer.Options{
		Self:   peerwire.Identity{Name: "probe", Domain: "a", Process: [16]byte{1}},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		TLS:    files,
		Handler: peer.HandlerFunc(func(context.Context, peerwire.Identity, peerwire.Message) (peerwire.Message, error) {
			return nil, nil
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	_, err = node.Call(t.Context(), netip.MustParseAddrPort(address), peerwire.ConfigPull{})
	return err
}

// Daemons with certificates of the same CA must join and share the configuration. A daemon
// with a certificate of another CA must not receive it, although it has the key that
// authenticates membership messages.
func TestMutualTLSBetweenDaemons(t *testing.T) {
	trustedCA, untrustedCA := newCertificateAuthority(t), newCertificateAuthority(t)
	engine := startProcess(t, "engine")
	region := &testRegion{t: t, platform: startProcess(t, "platform"), keyFile: writeTempFile(t, "keys", strings.Repeat("cd", 32)+"\n")}
	region.deployment = testDeployment([]string{engine.fields["address"]})
	region.publish()
	region.daemons = append(region.daemons, region.startTLSDaemon(0, trustedCA.issueFiles(trustedCA), region.platform.fields["address"]))
	region.waitReady(0, 0)
	// The second daemon cannot reach the platform; it gets the configuration from the first.
	region.daemons = append(region.daemons, region.startTLSDaemon(1, trustedCA.issueFiles(trustedCA), unusedAddress(t)))
	region.waitReady(0, 1)
	region.waitReady(1, 1)
	region.waitRevision(1, 1)
	region.publish()
	region.waitRevision(0, 2)
	region.waitRevision(1, 2)
	if !chatSucceeds(t, region.daemons[1].fields["callers"]) {
		t.Error("the daemon without a platform does not serve")
	}

	address := region.daemons[0].fields["peers"]
	if err := pullConfiguration(t, trustedCA.issueFiles(trustedCA), address); err != nil {
		t.Errorf("pull with a certificate of the trusted CA: %v", err)
	}
	if err := pullConfiguration(t, untrustedCA.issueFiles(trustedCA), address); err == nil {
		t.Error("pull with a certificate of another CA succeeded")
	}
	untrusted := len(region.daemons)
	region.daemons = append(region.daemons, region.startTLSDaemon(untrusted, untrustedCA.issueFiles(trustedCA), unusedAddress(t)))
	waitUntil(t, "configuration pulls by the untrusted daemon", func() bool {
		s, err := region.state(untrusted)
		return err == nil && s.Configuration.Stats.Pulls >= 6
	})
	s, err := region.state(untrusted)
	if err != nil || s.Ready || s.Revision != 0 {
		t.Errorf("untrusted daemon: ready %v, revision %d, %v", s.Ready, s.Revision, err)
	}
	// The untrusted daemon counts as a member and may be selected as a reader of the platform.
	// Then no selected reader reaches the platform, and the revision arrives through the reads
	// of the other members.
	region.publish()
	region.waitRevision(0, 3)
	region.waitRevision(1, 3)
}
