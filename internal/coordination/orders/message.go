package orders

import "time"

// RequestID identifies one stage of a caller's request at its entry instance, the instance
// that received it from the caller. Number identifies the request. Attempt counts the stages run for it, so that a late answer to an
// earlier stage is not taken for the answer to the current one.
type RequestID struct {
	Entry   Incarnation
	Number  uint64
	Attempt uint32
}

// Message is a message between instances. Tickets in received messages must be
// authentic: the wire layer obtains them from Keyring.Parse.
type Message interface{ message() }

// OrderForward requests the outcome of an order from its owner, or from the successor of
// the owner. With StatusOnly the order is not begun. Body is the whole body of the order; other
// messages carry only its hash.
type OrderForward struct {
	Request    RequestID
	Ticket     Ticket
	Body       []byte
	StatusOnly bool
}

// OrderAnswer answers an OrderForward.
type OrderAnswer struct {
	Request RequestID
	Outcome Outcome
}

// Intent requests the witness to record that the owner is about to send an order.
type Intent struct {
	Ticket   Ticket
	BodyHash BodyHash
}

// IntentAck answers an Intent. Granted is false when the witness refuses the intent; the owner
// then seals the ticket.
type IntentAck struct {
	ID      TicketID
	Witness Incarnation
	Granted bool
}

// OutcomeReport replicates the outcome of an order to its witness.
type OutcomeReport struct {
	Ticket   Ticket
	BodyHash BodyHash
	Outcome  Outcome
}

// Query requests the outcome of an order from its witness when the owner cannot be reached.
type Query struct {
	Request  RequestID
	Ticket   Ticket
	BodyHash BodyHash
}

// QueryAnswer answers a Query.
type QueryAnswer struct {
	Request RequestID
	Outcome Outcome
}

// SuccessorAnnouncement tells all instances which instance serves requests for the tickets
// of an owner that has stopped.
type SuccessorAnnouncement struct {
	Owner     Incarnation
	Successor Member
}

func (OrderForward) message()          {}
func (OrderAnswer) message()           {}
func (Intent) message()                {}
func (IntentAck) message()             {}
func (OutcomeReport) message()         {}
func (Query) message()                 {}
func (QueryAnswer) message()           {}
func (HandoverPart) message()          {}
func (SuccessorAnnouncement) message() {}

// Command is an action that the driver of a Coordinator carries out.
type Command interface{ command() }

// Send requests the driver to send a message to one instance. When the message cannot be delivered, or an
// OrderForward, Intent or Query is not answered in time, the driver calls
// Coordinator.MessageFailed.
type Send struct {
	To      Member
	Message Message
}

// Broadcast requests the driver to send a message to all known instances.
type Broadcast struct{ Message Message }

// Execute requests the driver to send an order to the upstream. The driver dials a new connection, calls
// Coordinator.MarkSending, writes only if that returns true, and then calls
// Coordinator.ExecutionFinished.
type Execute struct {
	Ticket Ticket
	Body   []byte
}

// Reply requests the driver to return the outcome to the caller that was passed to Submit or QueryStatus.
type Reply struct {
	CallerID uint64
	Outcome  Outcome
}

// ScheduleRetry requests the driver to call Coordinator.Retry with Request after Delay.
type ScheduleRetry struct {
	Request RequestID
	Delay   time.Duration
}

func (Send) command()          {}
func (Broadcast) command()     {}
func (Execute) command()       {}
func (Reply) command()         {}
func (ScheduleRetry) command() {}
