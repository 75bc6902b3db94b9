package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	headerTicket = "X-Order-Ticket"
	ordersPath   = "/v1/orders/"
	ticketsPath  = ordersPath + "tickets"

	// forwardTimeout bounds the wait for the owner of an order. It exceeds the time that
	// an order usually takes, since the owner answers only when the order has ended.
	forwardTimeout = 10 * time.Second
	// witnessTimeout bounds the wait for an acknowledgement or an answer of a witness.
	witnessTimeout = time.Second
	// orderDials is how many upstreams are dialled for an order before it is given up.
	orderDials = 3
)

// orderLinks sends messages of the order flow to other instances.
type orderLinks interface {
	// Send sends a message; an error means that it cannot have arrived.
	Send(to orders.Member, m orders.Message) error
	// Broadcast sends a message to all known instances.
	Broadcast(m orders.Message)
	// Witness chooses the witness for a new ticket; the zero Member when there is none.
	Witness() orders.Member
	// Successor chooses the instance that takes over the ledger; the zero Member when
	// there is none.
	Successor() orders.Member
}

// noLinks stands for an instance that works alone.
type noLinks struct{}

var errAlone = errors.New("this instance has no peers")

func (noLinks) Send(orders.Member, orders.Message) error { return errAlone }
func (noLinks) Broadcast(orders.Message)                 {}
func (noLinks) Witness() orders.Member                   { return orders.Member{} }
func (noLinks) Successor() orders.Member                 { return orders.Member{} }

// orderDesk carries out what the order flow decides.
type orderDesk struct {
	in     *Instance
	self   orders.Member
	keys   orders.Keyring
	ledger *orders.Ledger
	flow   *orders.Coordinator
	links  orderLinks

	mu      sync.Mutex
	next    uint64
	callers map[uint64]chan orders.Outcome
	running atomic.Int64 // executions and deliveries in progress
}

func newOrderDesk(in *Instance, self orders.Member, keys orders.Keyring, random interface{ Read([]byte) (int, error) }, links orderLinks) *orderDesk {
	d := &orderDesk{in: in, self: self, keys: keys, links: links, callers: map[uint64]chan orders.Outcome{}}
	d.ledger = orders.NewLedger(orders.LedgerOptions{Self: self, Keys: keys, Random: random})
	d.flow = orders.NewCoordinator(orders.CoordinatorOptions{
		Self:      self,
		Ledger:    d.ledger,
		Witness:   orders.NewWitness(orders.WitnessOptions{Self: self.Incarnation}),
		Successor: orders.NewSuccessor(orders.SuccessorOptions{}),
	})
	return d
}

// orderRequest is an order as its owner needs it. All of it counts as the body, so a
// ticket cannot be used for another path or team. It holds only what the caller sends
// and no result of the class rules: a resend after a new configuration must match.
type orderRequest struct {
	Service     string
	Method      string
	URI         string
	ContentType string
	ClassHeader string
	Team        string
	Body        []byte
}

// issue returns a new ticket for the team.
func (d *orderDesk) issue(team string) (string, *apierror.Error) {
	t, err := d.ledger.Issue(d.in.now(), team, d.links.Witness())
	if err != nil {
		return "", apierror.New(apierror.Draining, "this instance issues no order tickets: "+err.Error())
	}
	return t.String(), nil
}

// handleOrder runs a non-idempotent operation.
func (in *Instance) handleOrder(ctx *fasthttp.RequestCtx, s serviceRoute, t *team) *apierror.Error {
	header := string(ctx.Request.Header.Peek(headerTicket))
	if header == "" {
		e := apierror.New(apierror.TicketRequired, "send the order again with the ticket in "+headerTicket+"; it did not run")
		ticket, issueErr := in.orders.issue(t.name)
		if issueErr != nil {
			return issueErr
		}
		e.Ticket = ticket
		return e
	}
	ticket, apiErr := in.orders.parse(header, t)
	if apiErr != nil {
		return apiErr
	}
	body, err := msgpack.Marshal(orderRequest{
		Service:     s.service.Name,
		Method:      string(ctx.Method()),
		URI:         upstreamURI(ctx),
		ContentType: string(ctx.Request.Header.ContentType()),
		ClassHeader: string(ctx.Request.Header.Peek(headerClass)),
		Team:        t.name,
		Body:        ctx.PostBody(),
	})
	if err != nil {
		return apierror.New(apierror.MalformedRequest, "the order cannot be encoded")
	}
	outcome := in.orders.await(func(caller uint64) []orders.Command {
		return in.orders.flow.Submit(in.now(), caller, ticket, body)
	})
	in.metrics.orders.WithLabelValues(outcome.Kind.String()).Inc()
	return in.orders.answer(ctx, outcome, t)
}

// handleOrders serves the tickets and the state of orders.
func (in *Instance) handleOrders(ctx *fasthttp.RequestCtx, path string, t *team) *apierror.Error {
	if path == ticketsPath {
		if !ctx.IsPost() {
			return apierror.New(apierror.MethodNotAllowed, "tickets are requested by POST")
		}
		ticket, apiErr := in.orders.issue(t.name)
		if apiErr != nil {
			return apiErr
		}
		return writeJSON(ctx, map[string]string{"ticket": ticket})
	}
	if !ctx.IsGet() {
		return apierror.New(apierror.MethodNotAllowed, "the state of an order is requested by GET")
	}
	ticket, apiErr := in.orders.parse(strings.TrimPrefix(path, ordersPath), t)
	if apiErr != nil {
		return apiErr
	}
	outcome := in.orders.await(func(caller uint64) []orders.Command {
		return in.orders.flow.QueryStatus(in.now(), caller, ticket)
	})
	return writeJSON(ctx, map[string]string{"state": outcome.Kind.String()})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) *apierror.Error {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // only maps of strings are written
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	return nil
}

// parse reads a ticket and checks that the team is the one it was issued to. A ticket
// that cannot be verified may be genuine: its key may have been removed, or it may come
// from an earlier process of an instance without peers. An order may have run under it.
func (d *orderDesk) parse(text string, t *team) (orders.Ticket, *apierror.Error) {
	ticket, err := d.keys.ParseText(text)
	if err != nil || ticket.Team != t.name {
		e := apierror.New(apierror.TicketInvalid, "the order ticket is not valid for this team; whether an order ran under it is not known")
		e.Run = apierror.Unknown
		return orders.Ticket{}, e
	}
	return ticket, nil
}

// await runs the flow for one caller and waits for its reply.
func (d *orderDesk) await(start func(caller uint64) []orders.Command) orders.Outcome {
	reply := make(chan orders.Outcome, 1)
	d.mu.Lock()
	d.next++
	caller := d.next
	d.callers[caller] = reply
	d.mu.Unlock()
	d.carryOut(start(caller))
	return <-reply
}

// answer turns an outcome into the caller's answer.
func (d *orderDesk) answer(ctx *fasthttp.RequestCtx, o orders.Outcome, t *team) *apierror.Error {
	switch o.Kind {
	case orders.Done:
		ctx.SetStatusCode(o.Response.Status)
		ctx.SetContentType(o.Response.ContentType)
		ctx.SetBody(o.Response.Body)
		return nil
	case orders.NotRun:
		e := apierror.New(apierror.OrderNotRun, "the order did not run and its ticket is closed; place it again with a new ticket")
		e.RetryAfter = orderRetryAfter
		if ticket, err := d.issue(t.name); err == nil {
			e.Ticket = ticket
		}
		return e
	case orders.WrongBody:
		return apierror.New(apierror.TicketBodyMismatch, "the ticket belongs to another order; this one did not run")
	}
	e := apierror.New(apierror.OrderUnknown, "the order may have run; ask again by GET "+ordersPath+"{ticket} or look at the service")
	e.Run = apierror.Unknown
	return e
}

// orderRetryAfter is the advised pause before an order is placed again.
const orderRetryAfter = time.Second

// carryOut executes the commands of the flow. Commands that take time run in the
// background.
func (d *orderDesk) carryOut(commands []orders.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case orders.Send:
			if _, isOutcome := c.Message.(orders.OutcomeReport); isOutcome {
				d.sendFirst(c)
				continue
			}
			d.background(func() { d.send(c) })
		case orders.Broadcast:
			d.background(func() { d.links.Broadcast(c.Message) })
		case orders.Execute:
			d.background(func() { d.execute(c) })
		case orders.Reply:
			d.reply(c)
		case orders.ScheduleRetry:
			d.later(c.Delay, func() []orders.Command { return d.flow.Retry(d.in.now(), c.Request) })
		}
	}
}

// sendFirst delivers the outcome of an order to its witness before the caller hears of
// it, so that the answer can be repeated when this instance is killed right after. A
// witness that cannot be reached delays the answer by at most outcomeWait.
func (d *orderDesk) sendFirst(c orders.Send) {
	done := make(chan struct{})
	d.background(func() {
		defer close(done)
		d.send(c)
	})
	select {
	case <-done:
	case <-time.After(outcomeWait):
	}
}

// outcomeWait bounds the wait for the witness. An exchange between failure domains
// takes 3 ms.
const outcomeWait = 100 * time.Millisecond

func (d *orderDesk) background(fn func()) {
	d.running.Add(1)
	go func() {
		defer d.running.Add(-1)
		fn()
	}()
}

// waitIdle waits until nothing runs in the background. Messages of peers may start
// something new meanwhile, which a sync.WaitGroup does not allow.
func (d *orderDesk) waitIdle() {
	for d.running.Load() > 0 {
		time.Sleep(stopPoll)
	}
}

func (d *orderDesk) later(delay time.Duration, fn func() []orders.Command) {
	time.AfterFunc(delay, func() { d.carryOut(fn()) })
}

func (d *orderDesk) reply(r orders.Reply) {
	d.mu.Lock()
	ch := d.callers[r.CallerID]
	delete(d.callers, r.CallerID)
	d.mu.Unlock()
	if ch != nil {
		ch <- r.Outcome
	}
}

// send delivers a message and reports its failure, or the missing answer, to the flow.
func (d *orderDesk) send(c orders.Send) {
	if err := d.links.Send(c.To, c.Message); err != nil {
		d.carryOut(d.flow.MessageFailed(d.in.now(), c.Message))
		return
	}
	if wait := answerTimeout(c.Message); wait > 0 {
		d.later(wait, func() []orders.Command { return d.flow.MessageFailed(d.in.now(), c.Message) })
	}
}

// answerTimeout is how long an answer to the message may take; 0 when none is expected.
func answerTimeout(m orders.Message) time.Duration {
	switch m.(type) {
	case orders.OrderForward:
		return forwardTimeout
	case orders.Intent, orders.Query:
		return witnessTimeout
	}
	return 0
}

// receive handles a message from another instance.
func (d *orderDesk) receive(from orders.Member, m orders.Message) {
	d.carryOut(d.flow.Receive(d.in.now(), from, m))
}

// execute places the order at an upstream and reports what is known.
func (d *orderDesk) execute(c orders.Execute) {
	outcome := d.place(c)
	d.carryOut(d.flow.ExecutionFinished(d.in.now(), c.Ticket.ID, outcome))
}

var notRun = orders.Outcome{Kind: orders.NotRun}

// place sends the order once. Only a failed dial allows another upstream: after the
// first byte the order is never sent again.
func (d *orderDesk) place(c orders.Execute) orders.Outcome {
	var o orderRequest
	if err := msgpack.Unmarshal(c.Body, &o); err != nil {
		return notRun
	}
	r, ok := d.request(o, c.Ticket)
	if !ok {
		return notRun
	}
	defer r.cancel()
	for range orderDials {
		pick, apiErr := r.admit()
		if apiErr != nil {
			return notRun
		}
		a := r.newAttempt(pick)
		outcome, sent := d.exchange(a, o, c.Ticket)
		if sent {
			return outcome
		}
		r.tried = append(r.tried, pick.Upstream.Name)
		r.retried = true
	}
	return notRun
}

// request builds the request under which the order is queued. The order's fate does
// not depend on the caller's connection.
func (d *orderDesk) request(o orderRequest, t orders.Ticket) (*request, bool) {
	routes := d.in.routes.Load()
	if routes == nil {
		return nil, false
	}
	s, found := routes.service(o.URI)
	if !found || s.service.Name != o.Service {
		return nil, false
	}
	path, _, _ := strings.Cut(o.URI, "?")
	class, apiErr := routes.classFor(o.ClassHeader, path, "", s.service.Class, &team{name: o.Team})
	if apiErr != nil {
		return nil, false
	}
	r := &request{
		id:          newRequestID(),
		seq:         d.in.sequence.Add(1),
		team:        &team{name: o.Team},
		class:       class,
		pool:        s.pool,
		arrived:     d.in.now(),
		fingerprint: d.in.fingerprint(o.Team, t.ID[:]),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, true
}

// exchange sends the order on a connection that is dialled for it. The second result is
// false when no byte has left.
func (d *orderDesk) exchange(a *attempt, o orderRequest, t orders.Ticket) (orders.Outcome, bool) {
	limits := d.in.settings.Limits
	err := a.send(upstream.Call{
		Request:         o.build(a, t),
		FreshConnection: true,
		HeaderTimeout:   limits.AnswerTimeout.Std(),
		BeforeSend:      func() bool { return d.flow.MarkSending(d.in.now(), t.ID) },
	})
	if err != nil {
		a.fail(err)
		return orders.Outcome{Kind: orders.Unknown}, sent(err)
	}
	body, err := a.readAll(limits.MaxAnswerBytes, limits.AnswerTimeout.Std())
	if err != nil {
		a.fail(err)
		return orders.Outcome{Kind: orders.Unknown}, true
	}
	a.token()
	answer := orders.Response{
		Status:      a.answer.Response.StatusCode(),
		ContentType: string(a.answer.Response.Header.ContentType()),
		Body:        body,
	}
	a.end(balancer.OK)
	return orders.Outcome{Kind: orders.Done, Response: answer}, true
}

// build makes the HTTP request of an order.
func (o orderRequest) build(a *attempt, t orders.Ticket) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(o.Method)
	req.SetRequestURI("http://" + a.pick.Upstream.Address + o.URI)
	req.Header.SetContentType(o.ContentType)
	req.Header.Set(headerTeam, o.Team)
	req.Header.Set(headerTicket, t.String())
	a.r.upstreamHeaders(&req.Header, a.r.pool.in.now())
	req.SetBodyRaw(o.Body)
	return req
}

// drain closes the ledger, waits for the orders that are being sent and hands the
// ledger over.
func (d *orderDesk) drain() {
	d.carryOut(d.flow.Drain(d.in.now()))
	d.waitIdle()
	if successor := d.links.Successor(); !successor.IsZero() {
		d.carryOut(d.flow.Handover(d.in.now(), successor))
		d.waitIdle()
	}
}
