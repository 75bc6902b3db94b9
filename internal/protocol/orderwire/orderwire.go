package orderwire

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// forwardMessage is the encoded form of orders.OrderForward.
type forwardMessage struct {
	Request    orders.RequestID `msgpack:"Call"`
	Ticket     []byte
	Body       []byte
	StatusOnly bool
}

// answerMessage is the encoded form of orders.OrderAnswer and orders.QueryAnswer.
type answerMessage struct {
	Query   bool
	Request orders.RequestID `msgpack:"Call"`
	Outcome orders.Outcome
}

// recordMessage is the encoded form of orders.Intent, orders.OutcomeReport and orders.Query.
type recordMessage struct {
	Request orders.RequestID `msgpack:"Call"`
	Ticket  []byte
	Body    orders.BodyHash
	Outcome orders.Outcome
}

// ackMessage is the encoded form of orders.IntentAck.
type ackMessage struct {
	ID      orders.TicketID
	Witness orders.Incarnation
	Granted bool
}

// handoverMessage is the encoded form of orders.HandoverPart and orders.SuccessorAnnouncement.
type handoverMessage struct {
	Part      *orders.HandoverPart
	Owner     orders.Incarnation
	Successor orders.Incarnation
	Address   string // of the successor
}

// Encode converts a message of package orders to a message between peers.
func Encode(m orders.Message) (peerwire.Message, error) {
	switch m := m.(type) {
	case orders.OrderForward:
		b, err := marshal(forwardMessage{Request: m.Request, Ticket: marshalTicket(m.Ticket), Body: m.Body, StatusOnly: m.StatusOnly})
		return peerwire.OrderForward{Payload: b}, err
	case orders.OrderAnswer:
		b, err := marshal(answerMessage{Request: m.Request, Outcome: m.Outcome})
		return peerwire.OrderAnswer{Payload: b}, err
	case orders.QueryAnswer:
		b, err := marshal(answerMessage{Query: true, Request: m.Request, Outcome: m.Outcome})
		return peerwire.OrderAnswer{Payload: b}, err
	case orders.Intent:
		b, err := marshal(recordMessage{Ticket: marshalTicket(m.Ticket), Body: m.BodyHash})
		return peerwire.Intent{Payload: b}, err
	case orders.IntentAck:
		b, err := marshal(ackMessage(m))
		return peerwire.IntentAck{Payload: b}, err
	case orders.OutcomeReport:
		b, err := marshal(recordMessage{Ticket: marshalTicket(m.Ticket), Body: m.BodyHash, Outcome: m.Outcome})
		return peerwire.Outcome{Payload: b}, err
	case orders.Query:
		b, err := marshal(recordMessage{Request: m.Request, Ticket: marshalTicket(m.Ticket), Body: m.BodyHash})
		return peerwire.Query{Payload: b}, err
	case orders.HandoverPart:
		b, err := marshal(handoverMessage{Part: &m})
		return peerwire.LedgerHandover{Payload: b}, err
	case orders.SuccessorAnnouncement:
		b, err := marshal(handoverMessage{Owner: m.Owner, Successor: m.Successor.Incarnation, Address: m.Successor.Address.String()})
		return peerwire.LedgerHandover{Payload: b}, err
	}
	return nil, errors.Errorf("message %T is not sent between instances", m)
}

// Decode converts a message between peers to a message of package orders. Tickets are
// authenticated with keys.
func Decode(keys orders.Keyring, m peerwire.Message) (orders.Message, error) {
	switch m := m.(type) {
	case peerwire.OrderForward:
		return decodeForward(keys, m.Payload)
	case peerwire.OrderAnswer:
		return decodeAnswer(m.Payload)
	case peerwire.Intent:
		r, t, err := decodeRecord(keys, m.Payload)
		return orders.Intent{Ticket: t, BodyHash: r.Body}, err
	case peerwire.IntentAck:
		var a ackMessage
		err := unmarshal(m.Payload, &a)
		return orders.IntentAck(a), err
	case peerwire.Outcome:
		r, t, err := decodeRecord(keys, m.Payload)
		return orders.OutcomeReport{Ticket: t, BodyHash: r.Body, Outcome: r.Outcome}, err
	case peerwire.Query:
		r, t, err := decodeRecord(keys, m.Payload)
		return orders.Query{Request: r.Request, Ticket: t, BodyHash: r.Body}, err
	case peerwire.LedgerHandover:
		return decodeHandover(m.Payload)
	}
	return nil, errors.Errorf("message type %s is not an order message", m.Type())
}

func decodeForward(keys orders.Keyring, b []byte) (orders.Message, error) {
	var f forwardMessage
	if err := unmarshal(b, &f); err != nil {
		return nil, err
	}
	t, err := keys.Parse(f.Ticket)
	if err != nil {
		return nil, err
	}
	return orders.OrderForward{Request: f.Request, Ticket: t, Body: f.Body, StatusOnly: f.StatusOnly}, nil
}

func decodeAnswer(b []byte) (orders.Message, error) {
	var a answerMessage
	if err := unmarshal(b, &a); err != nil {
		return nil, err
	}
	if a.Query {
		return orders.QueryAnswer{Request: a.Request, Outcome: a.Outcome}, nil
	}
	return orders.OrderAnswer{Request: a.Request, Outcome: a.Outcome}, nil
}

func decodeRecord(keys orders.Keyring, b []byte) (recordMessage, orders.Ticket, error) {
	var r recordMessage
	if err := unmarshal(b, &r); err != nil {
		return r, orders.Ticket{}, err
	}
	t, err := keys.Parse(r.Ticket)
	return r, t, err
}

func decodeHandover(b []byte) (orders.Message, error) {
	var h handoverMessage
	if err := unmarshal(b, &h); err != nil {
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

func marshalTicket(t orders.Ticket) []byte {
	b, err := t.MarshalBinary()
	if err != nil {
		panic(err) // MarshalBinary of a ticket never fails
	}
	return b
}

func marshal(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, errors.Wrap(err, "encode order message")
}

func unmarshal(b []byte, v any) error {
	return errors.Wrap(msgpack.Unmarshal(b, v), "decode order message")
}
