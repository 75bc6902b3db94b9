package peerwire

import (
	"net/netip"

	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// Type is the type byte of a frame.
type Type uint8

// Types of frames. The numbers are part of the protocol.
const (
	TypeHello Type = iota + 1
	TypeConfigPull
	TypeConfigPush
	TypeSuspicions
	TypeInstances
	TypeOrderForward
	TypeOrderAnswer
	TypeIntent
	TypeIntentAck
	TypeOutcome
	TypeQuery
	TypeLedgerHandover
	// TypeKeepAlive is sent and answered by the transport.
	TypeKeepAlive
	// TypeDone answers a request that has no other answer.
	TypeDone
	// TypeFailure answers a request that the peer could not handle.
	TypeFailure
	TypeReplicaPull
	TypeReplicaPush
	TypePlaced
)

var typeNames = [...]string{"unknown", "hello", "config_pull", "config_push", "suspicions",
	"pressure", "order_forward", "order_answer", "intent", "intent_ack", "outcome", "query",
	"ledger_handover", "keep_alive", "done", "failure", "replica_pull", "replica_push", "placed"}

// String returns the name of t, for log lines and metrics.
func (t Type) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return "unknown"
}

// Message is the typed body of a frame.
type Message interface{ Type() Type }

// Identity names the process at the other end of a connection.
type Identity struct {
	Name    string
	Domain  string
	Process membership.Process
	TCP     netip.AddrPort
}

type (
	// Hello opens a connection in both directions. MAC proves the knowledge of a key
	// on connections without TLS.
	Hello struct {
		Identity Identity
		Nonce    []byte
		MAC      []byte
	}
	// ConfigPull is answered with a ConfigPush.
	ConfigPull struct{ configsync.Pull }
	// ConfigPush announces a revision or answers a ConfigPull.
	ConfigPush struct{ configsync.Push }
	// Suspicions carries crash suspects, encoded by the quarantine.
	Suspicions struct{ Payload []byte }
	// Instances carries the upstreams that leave according to the platform's list.
	Instances struct{ Payload []byte }
	// OrderForward carries an order to the owner of its ticket.
	OrderForward struct{ Payload []byte }
	// OrderAnswer answers an OrderForward or a Query.
	OrderAnswer struct{ Payload []byte }
	// Intent records at the witness that an order is about to be sent.
	Intent struct{ Payload []byte }
	// IntentAck answers an Intent.
	IntentAck struct{ Payload []byte }
	// Outcome copies the outcome of an order to the witness.
	Outcome struct{ Payload []byte }
	// Query asks a witness or owner for the state of an order.
	Query struct{ Payload []byte }
	// LedgerHandover passes a ledger on when its owner stops.
	LedgerHandover struct{ Payload []byte }
	// ReplicaPull asks for copies of what the platform publishes; it is answered with a
	// ReplicaPush.
	ReplicaPull struct{ Payload []byte }
	// ReplicaPush carries copies of what the platform publishes.
	ReplicaPush struct{ Payload []byte }
	// Placed tells what an instance has at the upstreams.
	Placed struct{ Payload []byte }
	// KeepAlive shows that a connection still works.
	KeepAlive struct{}
	// Done answers a request that has no other answer.
	Done struct{}
	// Failure answers a request that the peer could not handle.
	Failure struct{ Reason string }
)

// Type returns the type byte of the message.
func (Hello) Type() Type          { return TypeHello }
func (ConfigPull) Type() Type     { return TypeConfigPull }
func (ConfigPush) Type() Type     { return TypeConfigPush }
func (Suspicions) Type() Type     { return TypeSuspicions }
func (Instances) Type() Type      { return TypeInstances }
func (OrderForward) Type() Type   { return TypeOrderForward }
func (OrderAnswer) Type() Type    { return TypeOrderAnswer }
func (Intent) Type() Type         { return TypeIntent }
func (IntentAck) Type() Type      { return TypeIntentAck }
func (Outcome) Type() Type        { return TypeOutcome }
func (Query) Type() Type          { return TypeQuery }
func (LedgerHandover) Type() Type { return TypeLedgerHandover }
func (ReplicaPull) Type() Type    { return TypeReplicaPull }
func (ReplicaPush) Type() Type    { return TypeReplicaPush }
func (Placed) Type() Type         { return TypePlaced }
func (KeepAlive) Type() Type      { return TypeKeepAlive }
func (Done) Type() Type           { return TypeDone }
func (Failure) Type() Type        { return TypeFailure }

// Error returns the reason, so that a Failure can be returned as an error.
func (f Failure) Error() string { return "peer reports: " + f.Reason }
