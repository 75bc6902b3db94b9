package membership

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"time"
)

// Process identifies one run of an instance: 16 random bytes drawn at start.
type Process [16]byte

// String returns the first bytes of p in hexadecimal, for log lines.
func (p Process) String() string { return hex.EncodeToString(p[:6]) }

// Compare orders processes bytewise.
func (p Process) Compare(q Process) int { return bytes.Compare(p[:], q[:]) }

// Incarnation is a process with its refutation counter. Only the process itself
// increments the counter: to refute a suspicion, to rejoin after it was declared
// dead, and when it leaves.
type Incarnation struct {
	Process    Process
	Refutation uint32
}

// State is the state of a member. Within one incarnation it only grows.
type State uint8

// Member states, in the order in which they override each other.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"unknown", "alive", "suspect", "leaving", "dead"}

// String returns the state in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Member is a claim about one process: who it is, where it listens, its state, and
// the small values that it reports about itself.
type Member struct {
	Name        string
	Domain      string
	Incarnation Incarnation
	UDP         netip.AddrPort
	TCP         netip.AddrPort
	State       State
	// Revision is the configuration revision that the member has in force.
	Revision uint64
	// Pressure holds opaque bytes, at most MaxPressure, that were PressureAge old
	// when the claim was made. It is empty in most claims about third members.
	Pressure    []byte
	PressureAge time.Duration
}

// Live reports whether m can be given work: alive, or suspected but not yet dead.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// overrides reports whether claim (r, s) about a process replaces claim (r0, s0).
func overrides(r uint32, s State, r0 uint32, s0 State) bool {
	return r > r0 || r == r0 && s > s0
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ping asks the addressee for an Ack.
	Ping Kind = iota + 1
	// PingReq asks the addressee to ping Target and to pass the Ack on.
	PingReq
	// Ack answers a Ping (Target is the sender) or a PingReq (Target is the process
	// that answered the helper).
	Ack
	// Gossip carries urgent updates and is not answered.
	Gossip
	// SyncRequest asks for the claims about the members of one domain, in the order
	// of their processes, starting behind After.
	SyncRequest
	// SyncReply is one page of the answer to a SyncRequest.
	SyncReply
)

// Message is one datagram between two members.
type Message struct {
	Kind Kind
	// Seq is chosen by the sender of a Ping, PingReq or SyncRequest and repeated in
	// the answer.
	Seq uint64
	// From is the claim of the sender about itself.
	From Member
	// Digest is a hash of the sender's view of its own domain.
	Digest uint64
	// Target is the process a Ping or PingReq is meant for (zero when unknown), or
	// the process that answered.
	Target Process
	// TargetAddress is the UDP address of the target of a PingReq.
	TargetAddress netip.AddrPort
	// Domain, After and More page through a sync.
	Domain string
	After  Process
	More   bool
	// Updates are claims about other members.
	Updates []Member
}

// Action is an outcome of the machine: Send, Changed, Reported or Paused.
type Action interface{ isAction() }

// Send asks the driver to send Message as one datagram.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Changed reports that a member has appeared or that its state or incarnation has
// changed. Previous is zero for a new member.
type Changed struct {
	Member   Member
	Previous State
}

// Reported carries values of a member that are newer than those reported before.
type Reported struct{ Member Member }

// Paused reports that the previous tick was longer than the lease ago. The view is
// stale until Fresh returns true again.
type Paused struct{ For time.Duration }

func (Send) isAction()     {}
func (Changed) isAction()  {}
func (Reported) isAction() {}
func (Paused) isAction()   {}
