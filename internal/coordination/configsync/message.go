package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Hash is the SHA-256 hash of a section or of a complete text.
type Hash [sha256.Size]byte

// String returns the first 6 bytes of s in hexadecimal, for logs.
func (s Hash) String() string { return hex.EncodeToString(s[:6]) }

// Section is a contiguous part of a configuration text.
type Section struct {
	Name string
	Hash Hash
	Data []byte
}

// SectionRef describes a section without its data.
type SectionRef struct {
	Name string
	Hash Hash
	Size int
}

// Pull requests a revision higher than Revision from a peer, which answers with a Push. Have
// lists the hashes of the sections that the requester holds; they are not sent.
type Pull struct {
	Revision uint64
	Hash     Hash
	Have     []Hash
}

// Push is used in two ways. As an announcement it tells a peer, unrequested, the number and
// hash of the sender's active revision. As the answer to a Pull it transfers a revision:
// Manifest lists all its sections in order, and Sections holds only those that the requester
// lacks. An announcement, and an answer when the peer has no higher revision, has neither
// manifest nor sections.
type Push struct {
	Revision uint64
	Hash     Hash
	Manifest []SectionRef
	Sections []Section
}

// Peer identifies a live instance and its failure domain. ID identifies the running process of
// the instance (membership.Incarnation.Process). Every other [16]byte in this package is the ID
// of a peer.
type Peer struct {
	ID     [16]byte
	Domain string
}

// Action is an output of the machine for the driver: SendPull, SendPush, Watch, Accepted
// or Rejected.
type Action interface{ isAction() }

// SendPull requests that the driver send Pull to a peer. The driver passes the answer to
// ReceivePush, or calls PullFailed if there is none.
type SendPull struct {
	To   [16]byte
	Pull Pull
}

// SendPush requests that the driver send an announcement to a peer. It gets no answer.
type SendPush struct {
	To   [16]byte
	Push Push
}

// Watch requests one call to the platform, which may wait up to Wait for a revision above
// After. The driver passes the outcome to ReceivePlatformResult with ID.
type Watch struct {
	ID    uint64
	After uint64
	Wait  time.Duration
}

// Accepted reports that a revision has become active.
type Accepted struct {
	Revision uint64
	Text     []byte
}

// Rejected reports that a revision failed validation and is not used.
type Rejected struct {
	Revision uint64
	Hash     Hash
	Reason   string
}

func (SendPull) isAction() {}
func (SendPush) isAction() {}
func (Watch) isAction()    {}
func (Accepted) isAction() {}
func (Rejected) isAction() {}
