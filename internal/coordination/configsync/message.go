package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Sum is the SHA-256 hash of a section or of a complete text.
type Sum [sha256.Size]byte

// String returns the first 6 bytes of s in hexadecimal, for logs.
func (s Sum) String() string { return hex.EncodeToString(s[:6]) }

// Section is a contiguous part of a configuration text.
type Section struct {
	Name string
	Sum  Sum
	Data []byte
}

// SectionRef describes a section without its data.
type SectionRef struct {
	Name string
	Sum  Sum
	Size int
}

// Pull requests a revision higher than Revision from a peer. Have lists the hashes of the
// sections that the requester holds; they are not sent.
type Pull struct {
	Revision uint64
	Sum      Sum
	Have     []Sum
}

// Push announces or transfers a revision. Sections holds only the sections that the
// requester lacks. An announcement, and the response to a Pull when the peer has no higher
// revision, has neither manifest nor sections.
type Push struct {
	Revision uint64
	Sum      Sum
	Manifest []SectionRef
	Sections []Section
}

// Peer identifies a live instance and its failure domain.
type Peer struct {
	ID     [16]byte
	Domain string
}

// Action is an output of the machine for the driver: SendPull, SendPush, Watch, Accepted
// or Rejected.
type Action interface{ isAction() }

// SendPull requests that the driver send Pull to a peer. The driver passes the response to
// ReceivePush, or calls PullFailed if there is none.
type SendPull struct {
	To   [16]byte
	Pull Pull
}

// SendPush requests that the driver send an announcement to a peer. It has no response.
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
	Sum      Sum
	Reason   string
}

func (SendPull) isAction() {}
func (SendPush) isAction() {}
func (Watch) isAction()    {}
func (Accepted) isAction() {}
func (Rejected) isAction() {}
