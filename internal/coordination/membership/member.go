package membership

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"time"
)

// Process identifies one run of an instance by 16 random bytes generated at start.
type Process [16]byte

// String returns the first bytes of p in hexadecimal, for log lines.
func (p Process) String() string { return hex.EncodeToString(p[:6]) }

// Compare compares p and q byte by byte.
func (p Process) Compare(q Process) int { return bytes.Compare(p[:], q[:]) }

// Incarnation is a process with its incarnation number in the sense of SWIM. Only the
// process itself increments the number: to refute a suspicion, to rejoin after it was
// declared dead, and when it leaves.
type Incarnation struct {
	Process Process
	Number  uint32
}

// State is the state of a member. Within one incarnation it only increases.
type State uint8

// Member states. A higher state overrides a lower one of the same incarnation.
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

// Member is the record of one process: its identity, addresses and state, and the
// metadata that it reports about itself (Revision and Pressure).
type Member struct {
	Name string
	// Domain is the group of members that probe each other.
	Domain string
	// FailureDomain is where the member stands; empty if it does not say so.
	FailureDomain string
	Incarnation   Incarnation
	UDP           netip.AddrPort
	TCP           netip.AddrPort
	State         State
	// Revision is the configuration revision that the member uses.
	Revision uint64
	// Pressure is an opaque value of at most MaxPressureBytes that was PressureAge old
	// when the record was sent. Records that a third member forwards mostly omit it.
	Pressure    []byte
	PressureAge time.Duration
}

// Live reports whether m can be given work: it is alive, or suspected but not yet dead.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// overrides reports whether a record with number and state replaces the record of the
// same process with oldNumber and oldState.
func overrides(number uint32, state State, oldNumber uint32, oldState State) bool {
	return number > oldNumber || number == oldNumber && state > oldState
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ping asks the recipient for an Ack.
	Ping Kind = iota + 1
	// PingReq asks the recipient to ping Target and to relay the Ack.
	PingReq
	// Ack answers a Ping (Target is the sender) or a PingReq (Target is the process
	// that answered the relay).
	Ack
	// Gossip carries urgent updates and is not answered.
	Gossip
	// SyncRequest asks for the records of one domain's members, in the order of their
	// processes, starting after After.
	SyncRequest
	// SyncReply is one page of the answer to a SyncRequest.
	SyncReply
)

// Message is one datagram between two members.
type Message struct {
	Kind Kind
	// Seq is chosen by the sender of a Ping, PingReq or SyncRequest and echoed in the
	// answer.
	Seq uint64
	// From is the sender's record of itself.
	From Member
	// Digest is a hash of the sender's view of its own domain.
	Digest uint64
	// Target is the process that a Ping or PingReq is meant for (zero when unknown), or
	// the process that answered.
	Target Process
	// TargetAddress is the UDP address of the target of a PingReq.
	TargetAddress netip.AddrPort
	// Domain, After and More control the paging of SyncRequest and SyncReply.
	Domain string
	After  Process
	More   bool
	// Updates are records of other members.
	Updates []Member
}

// Action is an output of the machine: Send, StateChanged, MetadataChanged or Paused.
type Action interface{ isAction() }

// Send asks the driver to send Message to To as one datagram.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// StateChanged reports that a member has appeared or that its state or incarnation
// has changed. Previous is zero for a new member.
type StateChanged struct {
	Member   Member
	Previous State
}

// MetadataChanged reports newer metadata of a member.
type MetadataChanged struct{ Member Member }

// Paused reports that the gap since the previous tick exceeded Options.MaxTickGap. The
// view is stale until Machine.Fresh returns true again.
type Paused struct{ Duration time.Duration }

func (Send) isAction()            {}
func (StateChanged) isAction()    {}
func (MetadataChanged) isAction() {}
func (Paused) isAction()          {}
