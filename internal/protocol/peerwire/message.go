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
	TypeLeavingUpstreams
	TypeOrderForward
	TypeOrderAnswer
	TypeIntent
	TypeIntentAck
	TypeOutcome
	TypeQuery
	TypeLedgerHandover
	// TypeKeepAlive is sent and answered by package peer itself.
	TypeKeepAlive
	// TypeDone answers a request that has no other answer.
	TypeDone
	// TypeFailure answers a request that the peer could not handle.
	TypeFailure
	TypeReplicaPull
	TypeReplicaPush
	TypeDispatchReport
	TypeStreamOrigins
	TypeStreamOriginQuery
	TypeStreamOriginAnswer
	TypeRelayOpen
	TypeRelayData
	TypeRelayEnd

	lastType = TypeRelayEnd
)

var typeNames = [...]string{"unknown", "hello", "config_pull", "config_push", "suspicions",
	"pressure", "order_forward", "order_answer", "intent", "intent_ack", "outcome", "query",
	"ledger_handover", "keep_alive", "done", "failure", "replica_pull", "replica_push", "placed",
	"stream_origins", "stream_origin_query", "stream_origin_answer",
	"relay_open", "relay_data", "relay_end"}

// String returns the name of t in logs and metrics.
func (t Type) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return "unknown"
}

// Message is the decoded body of a frame.
type Message interface{ Type() Type }

// Identity describes the process at one end of a connection.
type Identity struct {
	Name    string
	Domain  string
	Process membership.Process
	TCP     netip.AddrPort
}

// Unknown is a message of a type that this build does not know. Its body is not read.
type Unknown struct{ Number Type }

// Type implements Message.
func (m Unknown) Type() Type { return m.Number }

type (
	// Hello is the handshake message of both ends. On connections without TLS, MAC proves
	// knowledge of a key.
	Hello struct {
		Identity Identity
		Nonce    []byte
		MAC      []byte
	}
	// ConfigPull requests a configuration and is answered with a ConfigPush.
	ConfigPull struct{ configsync.Pull }
	// ConfigPush announces a revision or answers a ConfigPull.
	ConfigPush struct{ configsync.Push }
	// Suspicions carries requests suspected of crashing upstreams, encoded by the quarantine.
	Suspicions struct{ Payload []byte }
	// LeavingUpstreams carries the names of the upstreams that the platform lists as leaving.
	LeavingUpstreams struct{ Payload []byte }
	// OrderForward carries an order to the owner of its ticket.
	OrderForward struct{ Payload []byte }
	// OrderAnswer answers an OrderForward or a Query.
	OrderAnswer struct{ Payload []byte }
	// Intent tells the witness that an order is about to be sent.
	Intent struct{ Payload []byte }
	// IntentAck answers an Intent.
	IntentAck struct{ Payload []byte }
	// Outcome copies the outcome of an order to the witness.
	Outcome struct{ Payload []byte }
	// Query asks a witness or owner for the state of an order.
	Query struct{ Payload []byte }
	// LedgerHandover transfers a ledger when its owner stops.
	LedgerHandover struct{ Payload []byte }
	// ReplicaPull requests copies of the data that the platform publishes; it is answered with
	// a ReplicaPush.
	ReplicaPull struct{ Payload []byte }
	// ReplicaPush carries copies of the data that the platform publishes.
	ReplicaPush struct{ Payload []byte }
	// DispatchReport reports the work that an instance has in progress at the upstreams.
	DispatchReport struct{ Payload []byte }
	// StreamOrigins carries records of where streams began.
	StreamOrigins struct{ Payload []byte }
	// StreamOriginQuery asks where a stream began; it is answered with a StreamOriginAnswer.
	StreamOriginQuery struct{ Payload []byte }
	// StreamOriginAnswer answers a StreamOriginQuery.
	StreamOriginAnswer struct{ Payload []byte }
	// RelayOpen, as the first message of a connection, asks the peer to relay bytes to and from an
	// upstream. It is answered with Done or Failure; RelayData and RelayEnd follow.
	RelayOpen struct{ Upstream string }
	// RelayData carries bytes of a relayed connection.
	RelayData struct{ Payload []byte }
	// RelayEnd shows that the upstream has closed the relayed connection regularly.
	RelayEnd struct{}
	// KeepAlive shows that the connection still works.
	KeepAlive struct{}
	// Done answers a request that has no other answer.
	Done struct{}
	// Failure answers a request that the peer could not handle.
	Failure struct{ Reason string }
)

// Type returns TypeHello. The other messages return their types in the same way.
func (Hello) Type() Type              { return TypeHello }
func (ConfigPull) Type() Type         { return TypeConfigPull }
func (ConfigPush) Type() Type         { return TypeConfigPush }
func (Suspicions) Type() Type         { return TypeSuspicions }
func (LeavingUpstreams) Type() Type   { return TypeLeavingUpstreams }
func (OrderForward) Type() Type       { return TypeOrderForward }
func (OrderAnswer) Type() Type        { return TypeOrderAnswer }
func (Intent) Type() Type             { return TypeIntent }
func (IntentAck) Type() Type          { return TypeIntentAck }
func (Outcome) Type() Type            { return TypeOutcome }
func (Query) Type() Type              { return TypeQuery }
func (LedgerHandover) Type() Type     { return TypeLedgerHandover }
func (ReplicaPull) Type() Type        { return TypeReplicaPull }
func (ReplicaPush) Type() Type        { return TypeReplicaPush }
func (DispatchReport) Type() Type     { return TypeDispatchReport }
func (StreamOrigins) Type() Type      { return TypeStreamOrigins }
func (StreamOriginQuery) Type() Type  { return TypeStreamOriginQuery }
func (StreamOriginAnswer) Type() Type { return TypeStreamOriginAnswer }
func (RelayOpen) Type() Type          { return TypeRelayOpen }
func (RelayData) Type() Type          { return TypeRelayData }
func (RelayEnd) Type() Type           { return TypeRelayEnd }
func (KeepAlive) Type() Type          { return TypeKeepAlive }
func (Done) Type() Type               { return TypeDone }
func (Failure) Type() Type            { return TypeFailure }

// Error returns the reason, so that a Failure can be returned as an error.
func (f Failure) Error() string { return "peer reported a failure: " + f.Reason }
