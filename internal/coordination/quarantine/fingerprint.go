package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies a request: a keyed hash of team and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. The key must be the same at all
// instances and secret, so that callers cannot choose requests whose fingerprint equals
// that of another team's request.
func FingerprintOf(key []byte, team string, body []byte) Fingerprint {
	h := hmac.New(sha256.New, key)
	// The length separates team and body.
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(team))))
	h.Write([]byte(team))
	h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
