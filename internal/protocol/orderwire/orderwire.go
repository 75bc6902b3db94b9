package orderwire

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// forward is the wire form of orders.OrderForward.
type forward struct {
	Call       orders.RequestID
	Ticket     []byte
	Body       []byte
	StatusOnly bool
}

// answer is the wire form of orders.OrderAnswer and orders.QueryAnswer.
type answer struct {
	Query   bool
	Call    orders.RequestID
	Outcome orders.Outcome
}

// record is the wire form of the messages between owner and witness.
type record struct {
	Call    orders.RequestID
	Ticket  []byte
	Body    orders.BodyHash
	Outcome orders.Outcome
}

// ack is the wire form of orders.IntentAck.
type ack struct {
	ID      orders.TicketID
	Witness orders.Incarnation
	Granted bool
}

// handover is the wire form of orders.HandoverPart and orders.Succession.
type handover struct {
	Part      *orders.HandoverPart
	Owner     orders.Incarnation
	Successor orders.Incarnation
	Address   string // of the successor
}

// Encode puts a message of the order flow into a frame's message.
func Encode(m orders.Message) (peerwire.Message, error) {
	switch m := m.(type) {
	case orders.OrderForward:
		b, err := pack(forward{Call: m.Request, Ticket: binary(m.Ticket), Body: m.Body, StatusOnly: m.StatusOnly})
		return peerwire.OrderForward{Payload: b}, err
	case orders.OrderAnswer:
		b, err := pack(answer{Call: m.Request, Outcome: m.Outcome})
		return peerwire.OrderAnswer{Payload: b}, err
	case orders.QueryAnswer:
		b, err := pack(answer{Query: true, Call: m.Request, Outcome: m.Outcome})
		return peerwire.OrderAnswer{Payload: b}, err
	case orders.Intent:
		b, err := pack(record{Ticket: binary(m.Ticket), Body: m.Body})
		return peerwire.Intent{Payload: b}, err
	case orders.IntentAck:
		b, err := pack(ack(m))
		return peerwire.IntentAck{Payload: b}, err
	case orders.OutcomeReport:
		b, err := pack(record{Ticket: binary(m.Ticket), Body: m.Body, Outcome: m.Outcome})
		return peerwire.Outcome{Payload: b}, err
	case orders.Query:
		b, err := pack(record{Call: m.Request, Ticket: binary(m.Ticket), Body: m.Body})
		return peerwire.Query{Payload: b}, err
	case orders.HandoverPart:
		b, err := pack(handover{Part: &m})
		return peerwire.LedgerHandover{Payload: b}, err
	case orders.SuccessorAnnouncement:
		b, err := pack(handover{Owner: m.Owner, Successor: m.Successor.Incarnation, Address: m.Successor.Address.String()})
		return peerwire.LedgerHandover{Payload: b}, err
	}
	return nil, errors.Errorf("message %T does not travel between instances", m)
}

// Decode takes a message of the order flow out of a frame's message. Tickets are
// authenticated with keys.
func Decode(keys orders.Keyring, m peerwire.Message) (orders.Message, error) {
	switch m := m.(type) {
	case peerwire.OrderForward:
		return decodeForward(keys, m.Payload)
	case peerwire.OrderAnswer:
		return decodeAnswer(m.Payload)
	case peerwire.Intent:
		r, t, err := decodeRecord(keys, m.Payload)
		return orders.Intent{Ticket: t, Body: r.Body}, err
	case peerwire.IntentAck:
		var a ack
		err := unpack(m.Payload, &a)
		return orders.IntentAck(a), err
	case peerwire.Outcome:
		r, t, err := decodeRecord(keys, m.Payload)
		return orders.OutcomeReport{Ticket: t, Body: r.Body, Outcome: r.Outcome}, err
	case peerwire.Query:
		r, t, err := decodeRecord(keys, m.Payload)
		return orders.Query{Request: r.Call, Ticket: t, Body: r.Body}, err
	case peerwire.LedgerHandover:
		return decodeHandover(m.Payload)
	}
	return nil, errors.Errorf("message type %s is not part of the order flow", m.Type())
}

func decodeForward(keys orders.Keyring, b []byte) (orders.Message, error) {
	var f forward
	if err := unpack(b, &f); err != nil {
		return nil, err
	}
	t, err := keys.Parse(f.Ticket)
	if err != nil {
		return nil, err
	}
	return orders.OrderForward{Request: f.Call, Ticket: t, Body: f.Body, StatusOnly: f.StatusOnly}, nil
}

func decodeAnswer(b []byte) (orders.Message, error) {
	var a answer
	if err := unpack(b, &a); err != nil {
		return nil, err
	}
	if a.Query {
		return orders.QueryAnswer{Request: a.Call, Outcome: a.Outcome}, nil
	}
	return orders.OrderAnswer{Request: a.Call, Outcome: a.Outcome}, nil
}

func decodeRecord(keys orders.Keyring, b []byte) (record, orders.Ticket, error) {
	var r record
	if err := unpack(b, &r); err != nil {
		return r, orders.Ticket{}, err
	}
	t, err := keys.Parse(r.Ticket)
	return r, t, err
}

func decodeHandover(b []byte) (orders.Message, error) {
	var h handover
	if err := unpack(b, &h); err != nil {
		return nil, err
	}
	if h.Part != nil {
		return *h.Part, nil
	}
	s := orders.SuccessorAnnouncement{Owner: h.Owner, Successor: orders.Member{Incarnation: h.Successor}}
	if err := s.Successor.Address.UnmarshalText([]byte(h.Address)); err != nil {
		return nil, errors.Wrap(err, "decode successor")
	}
	return s, nil
}

func binary(t orders.Ticket) []byte {
	b, err := t.MarshalBinary()
	if err != nil {
		panic(err) // MarshalBinary of a ticket cannot fail
	}
	return b
}

func pack(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, errors.Wrap(err, "encode order message")
}

func unpack(b []byte, v any) error {
	return errors.Wrap(msgpack.Unmarshal(b, v), "decode order message")
}
