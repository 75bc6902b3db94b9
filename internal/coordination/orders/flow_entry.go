package orders

import "time"

// call is an order, or a question about one, that a caller sent to this instance.
type call struct {
	id         Call
	caller     uint64
	ticket     Ticket
	body       []byte
	statusOnly bool
	stage      stage
	round      int
	ownerGone  bool // the address of the owner answers with another incarnation
}

type stage uint8

const (
	stageOwner stage = iota
	stageSuccessor
	stageWitness
	stagePause
)

func (c *call) hash() BodyHash {
	if c.statusOnly {
		return BodyHash{}
	}
	return HashBody(c.body)
}

// Submit takes an order from a caller. The caller gets exactly one Reply.
func (f *Flow) Submit(now time.Duration, caller uint64, t Ticket, body []byte) []Command {
	return f.start(now, &call{caller: caller, ticket: t, body: body})
}

// Ask takes a question about the state of an order from a caller. When the owner cannot
// be reached, the witness is asked, which seals a ticket that was not begun.
func (f *Flow) Ask(now time.Duration, caller uint64, t Ticket) []Command {
	return f.start(now, &call{caller: caller, ticket: t, statusOnly: true})
}

func (f *Flow) start(now time.Duration, c *call) []Command {
	shard := c.ticket.ID.shard()
	s := f.lock(shard)
	defer s.mu.Unlock()
	c.id = Call{Entry: f.options.Self.Incarnation, Number: s.issued*shardCount + uint64(shard)}
	s.issued++
	s.calls[c.id.Number] = c
	return f.step(now, s, c)
}

// step carries out the present stage of a call.
func (f *Flow) step(now time.Duration, s *flowShard, c *call) []Command {
	c.id.Attempt++
	switch c.stage {
	case stageOwner:
		return f.askOwner(now, s, c)
	case stageSuccessor:
		return f.askSuccessor(now, s, c)
	case stageWitness:
		return f.askWitness(now, s, c)
	default:
		return []Command{Wait{Call: c.id, Delay: f.options.RoundDelay}}
	}
}

func (f *Flow) askOwner(now time.Duration, s *flowShard, c *call) []Command {
	owner := c.ticket.Owner
	switch {
	case c.ownerGone:
		return f.advance(now, s, c.id, Outcome{Kind: NotOwner})
	case owner.Incarnation != f.options.Self.Incarnation:
		return []Command{Send{To: owner, Message: c.forward()}}
	case c.statusOnly:
		return f.advance(now, s, c.id, f.options.Ledger.Status(now, c.ticket))
	default:
		return f.begin(now, s, waiter{call: c.id}, c.ticket, c.body)
	}
}

func (c *call) forward() OrderForward {
	return OrderForward{Call: c.id, Ticket: c.ticket, Body: c.body, StatusOnly: c.statusOnly}
}

func (f *Flow) askSuccessor(now time.Duration, s *flowShard, c *call) []Command {
	if o, ok := f.options.Successor.Answer(now, c.ticket, c.hash()); ok {
		return f.advance(now, s, c.id, o)
	}
	successor := f.successorOf(now, c.ticket.Owner.Incarnation)
	if successor.IsZero() || successor.Incarnation == f.options.Self.Incarnation {
		return f.advance(now, s, c.id, Outcome{Kind: NotOwner})
	}
	return []Command{Send{To: successor, Message: c.forward()}}
}

func (f *Flow) askWitness(now time.Duration, s *flowShard, c *call) []Command {
	witness := c.ticket.Witness
	switch witness.Incarnation {
	case Incarnation{}:
		return f.advance(now, s, c.id, Outcome{Kind: Unknown})
	case f.options.Self.Incarnation:
		return f.advance(now, s, c.id, f.options.Witness.Query(now, c.ticket, c.hash()))
	default:
		return []Command{Send{To: witness, Message: Query{Call: c.id, Ticket: c.ticket, Body: c.hash()}}}
	}
}

func (f *Flow) receiveAnswer(now time.Duration, id Call, o Outcome) []Command {
	if id.Entry != f.options.Self.Incarnation {
		return nil
	}
	s := f.lock(int(id.Number % shardCount))
	defer s.mu.Unlock()
	return f.advance(now, s, id, o)
}

func (f *Flow) failedStep(now time.Duration, id Call) []Command {
	return f.receiveAnswer(now, id, Outcome{Kind: Unknown})
}

// advance takes the result of a step. Done, NotRun and WrongBody are facts and end the
// call whenever they arrive. Everything else counts only for the present attempt.
func (f *Flow) advance(now time.Duration, s *flowShard, id Call, o Outcome) []Command {
	c := s.calls[id.Number]
	if c == nil {
		return nil
	}
	switch o.Kind {
	case Done, NotRun, WrongBody:
		return f.end(s, c, o)
	}
	if id.Attempt != c.id.Attempt {
		return nil
	}
	if o.Kind == Issued || o.Kind == Running {
		return f.end(s, c, o)
	}
	if c.stage == stageOwner && o.Kind == NotOwner {
		c.ownerGone = true
	}
	if c.stage == stageWitness {
		c.round++
		if c.round >= f.options.Rounds {
			return f.end(s, c, Outcome{Kind: Unknown})
		}
	}
	c.stage++
	return f.step(now, s, c)
}

func (f *Flow) end(s *flowShard, c *call, o Outcome) []Command {
	delete(s.calls, c.id.Number)
	return []Command{Reply{Caller: c.caller, Outcome: o}}
}

// Resume starts the next round of a call after the pause that Wait asked for.
func (f *Flow) Resume(now time.Duration, id Call) []Command {
	s := f.lock(int(id.Number % shardCount))
	defer s.mu.Unlock()
	c := s.calls[id.Number]
	if c == nil || c.id != id || c.stage != stagePause {
		return nil
	}
	c.stage = stageOwner
	return f.step(now, s, c)
}
