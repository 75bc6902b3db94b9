package orders

import "time"

// Call identifies one step of an order at the entry instance. Attempt tells a late answer
// to an earlier step from the answer to the present one.
type Call struct {
	Entry   Incarnation
	Number  uint64
	Attempt uint32
}

// Message is a message between instances. Tickets in received messages must be
// authentic: the wire layer obtains them from Keyring.Parse.
type Message interface{ message() }

// OrderForward asks the owner, or the successor of the owner, for the outcome of an
// order. With StatusOnly the order is not begun.
type OrderForward struct {
	Call       Call
	Ticket     Ticket
	Body       []byte
	StatusOnly bool
}

// OrderAnswer answers an OrderForward.
type OrderAnswer struct {
	Call    Call
	Outcome Outcome
}

// Intent asks the witness to record that the owner is about to send an order.
type Intent struct {
	Ticket Ticket
	Body   BodyHash
}

// IntentAck answers an Intent.
type IntentAck struct {
	ID      TicketID
	Witness Incarnation
	Granted bool
}

// OutcomeReport copies the outcome of an order to its witness.
type OutcomeReport struct {
	Ticket  Ticket
	Body    BodyHash
	Outcome Outcome
}

// Query asks the witness for the outcome of an order whose owner cannot be reached.
type Query struct {
	Call   Call
	Ticket Ticket
	Body   BodyHash
}

// QueryAnswer answers a Query.
type QueryAnswer struct {
	Call    Call
	Outcome Outcome
}

// Succession tells all instances which instance answers for an owner that has stopped.
type Succession struct {
	Owner     Incarnation
	Successor Member
}

func (OrderForward) message()  {}
func (OrderAnswer) message()   {}
func (Intent) message()        {}
func (IntentAck) message()     {}
func (OutcomeReport) message() {}
func (Query) message()         {}
func (QueryAnswer) message()   {}
func (HandoverPart) message()  {}
func (Succession) message()    {}

// Command is an action that the driver of a Flow carries out.
type Command interface{ command() }

// Send sends a message to one instance. When it cannot be delivered, or the answer to an
// OrderForward, Intent or Query does not come in time, the driver calls Flow.Failed.
type Send struct {
	To      Member
	Message Message
}

// Broadcast sends a message to all known instances.
type Broadcast struct{ Message Message }

// Execute places an order at the upstream: dial a fresh connection, call
// Flow.MarkSending, write only if it returns true, then call Flow.Executed.
type Execute struct {
	Ticket Ticket
	Body   []byte
}

// Reply answers the caller that Submit named.
type Reply struct {
	Caller  uint64
	Outcome Outcome
}

// Wait asks the driver to call Flow.Resume with Call after Delay.
type Wait struct {
	Call  Call
	Delay time.Duration
}

func (Send) command()      {}
func (Broadcast) command() {}
func (Execute) command()   {}
func (Reply) command()     {}
func (Wait) command()      {}
