package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Sum is the SHA-256 of a section or of a whole text.
type Sum [sha256.Size]byte

// String returns the first bytes of s in hexadecimal, for log lines.
func (s Sum) String() string { return hex.EncodeToString(s[:6]) }

// Section is a contiguous part of a configuration text.
type Section struct {
	Name string
	Sum  Sum
	Data []byte
}

// SectionRef names a section without its bytes.
type SectionRef struct {
	Name string
	Sum  Sum
	Size int
}

// Pull asks a peer for a revision higher than Revision. Have lists the sections that
// the asker holds; they are not sent.
type Pull struct {
	Revision uint64
	Sum      Sum
	Have     []Sum
}

// Push announces or carries a revision. Sections holds only what the asker lacks. An
// announcement, and the answer to a Pull that finds nothing newer, has neither
// manifest nor sections.
type Push struct {
	Revision uint64
	Sum      Sum
	Manifest []SectionRef
	Sections []Section
}

// Peer is a live instance.
type Peer struct {
	ID     [16]byte
	Domain string
}

// Action is an outcome of the machine: SendPull, SendPush, Watch, Accepted or
// Rejected.
type Action interface{ isAction() }

// SendPull asks the driver to send Pull to a peer. The driver passes the answer to
// ReceivePush, or calls PullFailed when there is none.
type SendPull struct {
	To   [16]byte
	Pull Pull
}

// SendPush asks the driver to send an announcement to a peer. It is not answered.
type SendPush struct {
	To   [16]byte
	Push Push
}

// Watch asks the driver for one call to the platform, which may wait up to Wait for
// a revision above After. The driver passes the outcome to PlatformAnswer with ID.
type Watch struct {
	ID    uint64
	After uint64
	Wait  time.Duration
}

// Accepted reports that a revision is in force.
type Accepted struct {
	Revision uint64
	Text     []byte
}

// Rejected reports that a revision was refused as a whole.
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
