package orders

import "time"

// entryRequest is an order or a status query that a caller sent to this instance, which is
// its entry instance.
type entryRequest struct {
	id            RequestID
	callerID      uint64
	ticket        Ticket
	body          []byte
	statusOnly    bool
	stage         stage
	round         int  // completed rounds of owner, successor and witness
	ownerReplaced bool // the instance at the owner's address answered NotOwner: it is another incarnation
}

// stage is the step of a round that a request is in.
type stage uint8

const (
	stageOwner      stage = iota // queries the owner
	stageSuccessor               // queries the successor of the owner
	stageWitness                 // queries the witness
	stageRetryDelay              // waits for the next round
)

// bodyHash returns the hash of the body, or the zero hash for a status query.
func (r *entryRequest) bodyHash() BodyHash {
	if r.statusOnly {
		return BodyHash{}
	}
	return HashBody(r.body)
}

// Submit accepts an order from a caller. The caller receives exactly one Reply.
func (c *Coordinator) Submit(now time.Duration, callerID uint64, t Ticket, body []byte) []Command {
	return c.startRequest(now, &entryRequest{callerID: callerID, ticket: t, body: body})
}

// QueryStatus accepts a query about the state of an order from a caller. When the owner
// cannot be reached, the witness is queried, which seals a ticket that was not begun.
func (c *Coordinator) QueryStatus(now time.Duration, callerID uint64, t Ticket) []Command {
	return c.startRequest(now, &entryRequest{callerID: callerID, ticket: t, statusOnly: true})
}

func (c *Coordinator) startRequest(now time.Duration, r *entryRequest) []Command {
	shard := r.ticket.ID.shard()
	s := c.lockShard(shard)
	defer s.mu.Unlock()
	r.id = RequestID{Entry: c.options.Self.Incarnation, Number: s.nextSequence*shardCount + uint64(shard)}
	s.nextSequence++
	s.requests[r.id.Number] = r
	return c.runStage(now, s, r)
}

// runStage carries out the current stage of a request.
func (c *Coordinator) runStage(now time.Duration, s *coordinatorShard, r *entryRequest) []Command {
	r.id.Attempt++
	switch r.stage {
	case stageOwner:
		return c.queryOwner(now, s, r)
	case stageSuccessor:
		return c.querySuccessor(now, s, r)
	case stageWitness:
		return c.queryWitness(now, s, r)
	default:
		return []Command{ScheduleRetry{Request: r.id, Delay: c.options.RoundDelay}}
	}
}

func (c *Coordinator) queryOwner(now time.Duration, s *coordinatorShard, r *entryRequest) []Command {
	owner := r.ticket.Owner
	switch {
	case r.ownerReplaced:
		return c.handleResult(now, s, r.id, Outcome{Kind: NotOwner})
	case owner.Incarnation != c.options.Self.Incarnation:
		return []Command{Send{To: owner, Message: r.forward()}}
	case r.statusOnly:
		return c.handleResult(now, s, r.id, c.options.Ledger.Status(now, r.ticket))
	default:
		return c.beginOrder(now, s, waiter{request: r.id}, r.ticket, r.body)
	}
}

func (r *entryRequest) forward() OrderForward {
	return OrderForward{Request: r.id, Ticket: r.ticket, Body: r.body, StatusOnly: r.statusOnly}
}

func (c *Coordinator) querySuccessor(now time.Duration, s *coordinatorShard, r *entryRequest) []Command {
	if o, ok := c.options.ImportedLedgers.Lookup(now, r.ticket, r.bodyHash()); ok {
		return c.handleResult(now, s, r.id, o)
	}
	successor := c.successorOf(now, r.ticket.Owner.Incarnation)
	if successor.IsZero() || successor.Incarnation == c.options.Self.Incarnation {
		return c.handleResult(now, s, r.id, Outcome{Kind: NotOwner})
	}
	return []Command{Send{To: successor, Message: r.forward()}}
}

func (c *Coordinator) queryWitness(now time.Duration, s *coordinatorShard, r *entryRequest) []Command {
	witness := r.ticket.Witness
	switch witness.Incarnation {
	case Incarnation{}:
		return c.handleResult(now, s, r.id, Outcome{Kind: Unknown})
	case c.options.Self.Incarnation:
		return c.handleResult(now, s, r.id, c.options.Witness.Query(now, r.ticket, r.bodyHash()))
	default:
		return []Command{Send{To: witness, Message: Query{Request: r.id, Ticket: r.ticket, BodyHash: r.bodyHash()}}}
	}
}

func (c *Coordinator) receiveAnswer(now time.Duration, id RequestID, o Outcome) []Command {
	if id.Entry != c.options.Self.Incarnation {
		return nil
	}
	s := c.lockShard(int(id.Number % shardCount))
	defer s.mu.Unlock()
	return c.handleResult(now, s, id, o)
}

// stageFailed handles a stage that got no answer. Unless it is the last stage of the last
// round, the request goes on with its next stage.
func (c *Coordinator) stageFailed(now time.Duration, id RequestID) []Command {
	return c.receiveAnswer(now, id, Outcome{Kind: Unknown})
}

// handleResult handles the result of a stage. Done, NotRun and WrongBody are final and end
// the request whenever they arrive. Every other result is accepted only for the current
// attempt.
func (c *Coordinator) handleResult(now time.Duration, s *coordinatorShard, id RequestID, o Outcome) []Command {
	r := s.requests[id.Number]
	if r == nil {
		return nil
	}
	switch o.Kind {
	case Done, NotRun, WrongBody:
		return c.finishRequest(s, r, o)
	}
	if id.Attempt != r.id.Attempt {
		return nil
	}
	if o.Kind == Issued || o.Kind == Running {
		return c.finishRequest(s, r, o)
	}
	if r.stage == stageOwner && o.Kind == NotOwner {
		r.ownerReplaced = true
	}
	if r.stage == stageWitness {
		r.round++
		if r.round >= c.options.MaxRounds {
			return c.finishRequest(s, r, Outcome{Kind: Unknown})
		}
	}
	r.stage++
	return c.runStage(now, s, r)
}

func (c *Coordinator) finishRequest(s *coordinatorShard, r *entryRequest, o Outcome) []Command {
	delete(s.requests, r.id.Number)
	return []Command{Reply{CallerID: r.callerID, Outcome: o}}
}

// Retry starts the next round of a request after the delay of a ScheduleRetry command.
func (c *Coordinator) Retry(now time.Duration, id RequestID) []Command {
	s := c.lockShard(int(id.Number % shardCount))
	defer s.mu.Unlock()
	r := s.requests[id.Number]
	if r == nil || r.id != id || r.stage != stageRetryDelay {
		return nil
	}
	r.stage = stageOwner
	return c.runStage(now, s, r)
}
