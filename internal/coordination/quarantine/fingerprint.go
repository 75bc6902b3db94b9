package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies a request: a keyed hash of team and body.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal for logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request. The key must be secret and
// the same at all instances, so that callers cannot construct a request whose fingerprint
// collides with that of another team's request.
func FingerprintOf(key []byte, team string, body ...[]byte) Fingerprint {
	h := hmac.New(sha256.New, key)
	// The length prefix makes the boundary between team and body unambiguous.
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(team))))
	h.Write([]byte(team))
	for _, part := range body {
		h.Write(part)
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
