package orders

import "time"

// ownedOrder is an order in progress that this instance owns, with the requests that wait
// for its outcome.
type ownedOrder struct {
	ticket   Ticket
	body     []byte
	bodyHash BodyHash
	waiters  []waiter
}

// waiter is a request that waits at the owner for the outcome of an order. entry is its entry
// instance, or zero when this instance received the request from the caller itself.
type waiter struct {
	request RequestID
	entry   Member
}

func (c *Coordinator) receiveForward(now time.Duration, from Member, m OrderForward) []Command {
	s := c.lockShard(m.Ticket.ID.shard())
	defer s.mu.Unlock()
	w := waiter{request: m.Request, entry: from}
	if m.Ticket.Owner.Incarnation == c.options.Self.Incarnation {
		if m.StatusOnly {
			return c.respond(now, s, w, c.options.Ledger.Status(now, m.Ticket))
		}
		return c.beginOrder(now, s, w, m.Ticket, m.Body)
	}
	bodyHash := BodyHash{}
	if !m.StatusOnly {
		bodyHash = HashBody(m.Body)
	}
	o, ok := c.options.ImportedLedgers.Lookup(now, m.Ticket, bodyHash)
	if !ok {
		o = Outcome{Kind: NotOwner}
	}
	return c.respond(now, s, w, o)
}

// beginOrder starts an order at its owner, or attaches the request to the order in progress.
func (c *Coordinator) beginOrder(now time.Duration, s *coordinatorShard, w waiter, t Ticket, body []byte) []Command {
	bodyHash := HashBody(body)
	d := c.options.Ledger.Begin(now, t, bodyHash)
	switch d.Action {
	case ActionRecordIntent:
		s.orders[t.ID] = &ownedOrder{ticket: t, body: body, bodyHash: bodyHash, waiters: []waiter{w}}
		return []Command{Send{To: t.Witness, Message: Intent{Ticket: t, BodyHash: bodyHash}}}
	case ActionSend:
		s.orders[t.ID] = &ownedOrder{ticket: t, body: body, bodyHash: bodyHash, waiters: []waiter{w}}
		return []Command{Execute{Ticket: t, Body: body}}
	case ActionAttach:
		order := s.orders[t.ID]
		if order == nil || len(order.waiters) >= maxWaiters {
			return c.respond(now, s, w, Outcome{Kind: Unknown})
		}
		order.waiters = append(order.waiters, w)
		return nil
	case ActionForward:
		return c.respond(now, s, w, Outcome{Kind: NotOwner})
	default:
		return c.respond(now, s, w, d.Outcome)
	}
}

func (c *Coordinator) receiveIntentAck(now time.Duration, m IntentAck) []Command {
	s := c.lockShard(m.ID.shard())
	defer s.mu.Unlock()
	order := s.orders[m.ID]
	if order == nil {
		return nil
	}
	if m.Granted {
		if c.options.Ledger.IntentAcked(now, m.ID, m.Witness) {
			return []Command{Execute{Ticket: order.ticket, Body: order.body}}
		}
		return nil
	}
	if c.options.Ledger.IntentRefused(now, m.ID) {
		return c.finishOrder(now, s, m.ID, Outcome{Kind: NotRun})
	}
	return nil
}

// MarkSending is called directly before the first byte of an order is written; see
// Ledger.MarkSending.
func (c *Coordinator) MarkSending(now time.Duration, id TicketID) bool {
	return c.options.Ledger.MarkSending(now, id)
}

// ExecutionFinished handles the end of an Execute command. The outcome is Done with the
// complete response, NotRun when provably no byte was sent, or Unknown.
func (c *Coordinator) ExecutionFinished(now time.Duration, id TicketID, o Outcome) []Command {
	s := c.lockShard(id.shard())
	defer s.mu.Unlock()
	ok := false
	switch o.Kind {
	case Done:
		ok = c.options.Ledger.Finish(now, id, o.Response)
	case NotRun:
		ok = c.options.Ledger.FinishNotRun(now, id)
	default:
		o = Outcome{Kind: Unknown}
		ok = c.options.Ledger.FinishUnknown(now, id)
	}
	if !ok {
		return nil
	}
	return c.finishOrder(now, s, id, o)
}

// finishOrder reports the outcome of an order to its witness and to the waiting requests.
func (c *Coordinator) finishOrder(now time.Duration, s *coordinatorShard, id TicketID, result Outcome) []Command {
	order := s.orders[id]
	if order == nil {
		return nil
	}
	delete(s.orders, id)
	var commands []Command
	if !order.ticket.Witness.IsZero() && result.Kind != Unknown {
		reported := result
		if reported.Response.size() > MaxStoredResponseBytes {
			reported.Response = Response{}
			reported.Kind = Unknown
		}
		report := OutcomeReport{Ticket: order.ticket, BodyHash: order.bodyHash, Outcome: reported}
		commands = append(commands, Send{To: order.ticket.Witness, Message: report})
	}
	for _, w := range order.waiters {
		commands = append(commands, c.respond(now, s, w, result)...)
	}
	return commands
}

// respond passes an outcome to a waiting request at this or another instance.
func (c *Coordinator) respond(now time.Duration, s *coordinatorShard, w waiter, o Outcome) []Command {
	if w.entry.IsZero() {
		return c.handleResult(now, s, w.request, o)
	}
	return []Command{Send{To: w.entry, Message: OrderAnswer{Request: w.request, Outcome: o}}}
}
