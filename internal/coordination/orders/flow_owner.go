package orders

import "time"

// order is an owned order in progress and the callers that wait for its outcome.
type order struct {
	ticket  Ticket
	body    []byte
	hash    BodyHash
	waiters []waiter
}

// waiter is a call that waits at the owner; entry is zero for a call of this instance.
type waiter struct {
	call  Call
	entry Member
}

func (f *Flow) receiveForward(now time.Duration, from Member, m OrderForward) []Command {
	s := f.lock(m.Ticket.ID.shard())
	defer s.mu.Unlock()
	w := waiter{call: m.Call, entry: from}
	if m.Ticket.Owner.Incarnation == f.options.Self.Incarnation {
		if m.StatusOnly {
			return f.respond(now, s, w, f.options.Ledger.Status(now, m.Ticket))
		}
		return f.begin(now, s, w, m.Ticket, m.Body)
	}
	hash := BodyHash{}
	if !m.StatusOnly {
		hash = HashBody(m.Body)
	}
	o, ok := f.options.Successor.Answer(now, m.Ticket, hash)
	if !ok {
		o = Outcome{Kind: NotOwner}
	}
	return f.respond(now, s, w, o)
}

// begin takes an order at its owner.
func (f *Flow) begin(now time.Duration, s *flowShard, w waiter, t Ticket, body []byte) []Command {
	hash := HashBody(body)
	d := f.options.Ledger.Begin(now, t, hash)
	switch d.Action {
	case ActionRecordIntent:
		s.orders[t.ID] = &order{ticket: t, body: body, hash: hash, waiters: []waiter{w}}
		return []Command{Send{To: t.Witness, Message: Intent{Ticket: t, Body: hash}}}
	case ActionSend:
		s.orders[t.ID] = &order{ticket: t, body: body, hash: hash, waiters: []waiter{w}}
		return []Command{Execute{Ticket: t, Body: body}}
	case ActionAttach:
		o := s.orders[t.ID]
		if o == nil || len(o.waiters) >= maxWaiters {
			return f.respond(now, s, w, Outcome{Kind: Unknown})
		}
		o.waiters = append(o.waiters, w)
		return nil
	case ActionForward:
		return f.respond(now, s, w, Outcome{Kind: NotOwner})
	default:
		return f.respond(now, s, w, d.Outcome)
	}
}

func (f *Flow) receiveAck(now time.Duration, m IntentAck) []Command {
	s := f.lock(m.ID.shard())
	defer s.mu.Unlock()
	o := s.orders[m.ID]
	if o == nil {
		return nil
	}
	if m.Granted {
		if f.options.Ledger.IntentAcked(now, m.ID, m.Witness) {
			return []Command{Execute{Ticket: o.ticket, Body: o.body}}
		}
		return nil
	}
	if f.options.Ledger.IntentRefused(now, m.ID) {
		return f.conclude(now, s, m.ID, Outcome{Kind: NotRun})
	}
	return nil
}

// MarkSending is the last step before bytes of an order leave; see Ledger.MarkSending.
func (f *Flow) MarkSending(now time.Duration, id TicketID) bool {
	return f.options.Ledger.MarkSending(now, id)
}

// Executed handles the end of an Execute. The outcome is Done with the whole answer,
// NotRun when provably no byte left, or Unknown.
func (f *Flow) Executed(now time.Duration, id TicketID, o Outcome) []Command {
	s := f.lock(id.shard())
	defer s.mu.Unlock()
	ok := false
	switch o.Kind {
	case Done:
		ok = f.options.Ledger.Finish(now, id, o.Answer)
	case NotRun:
		ok = f.options.Ledger.FinishNotRun(now, id)
	default:
		o = Outcome{Kind: Unknown}
		ok = f.options.Ledger.FinishUnknown(now, id)
	}
	if !ok {
		return nil
	}
	return f.conclude(now, s, id, o)
}

// conclude answers the callers of an order and reports its outcome to the witness.
func (f *Flow) conclude(now time.Duration, s *flowShard, id TicketID, result Outcome) []Command {
	o := s.orders[id]
	if o == nil {
		return nil
	}
	delete(s.orders, id)
	var commands []Command
	if !o.ticket.Witness.IsZero() && result.Kind != Unknown {
		reported := result
		if reported.Answer.cost() > MaxStoredAnswer {
			reported.Answer = Answer{}
			reported.Kind = Unknown
		}
		r := OutcomeReport{Ticket: o.ticket, Body: o.hash, Outcome: reported}
		commands = append(commands, Send{To: o.ticket.Witness, Message: r})
	}
	for _, w := range o.waiters {
		commands = append(commands, f.respond(now, s, w, result)...)
	}
	return commands
}

// respond answers a waiting call at this or another instance.
func (f *Flow) respond(now time.Duration, s *flowShard, w waiter, o Outcome) []Command {
	if w.entry.IsZero() {
		return f.advance(now, s, w.call, o)
	}
	return []Command{Send{To: w.entry, Message: OrderAnswer{Call: w.call, Outcome: o}}}
}
