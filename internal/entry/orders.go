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

	// forwardTimeout bounds the wait for the owner of an order. It exceeds the usual duration
	// of an order, because the owner answers only when the order has completed.
	forwardTimeout = 10 * time.Second
	// witnessTimeout bounds the wait for an acknowledgement or answer from a witness.
	witnessTimeout = time.Second
	// maxOrderDials is the number of upstreams to dial before an order is reported as not run.
	maxOrderDials = 3
)

// orderTransport sends order messages to other instances and selects the instances to use.
type orderTransport interface {
	// Send sends a message; an error means that it cannot have arrived.
	Send(to orders.Member, m orders.Message) error
	// Broadcast sends a message to all known instances.
	Broadcast(m orders.Message)
	// Witness selects a witness for a new ticket, or returns the zero Member.
	Witness() orders.Member
	// Successor selects the instance to which the ledger is handed over, or returns the
	// zero Member.
	Successor() orders.Member
}

// noPeerTransport is the orderTransport of an instance without peers.
type noPeerTransport struct{}

var errNoPeers = errors.New("this instance has no peers")

func (noPeerTransport) Send(orders.Member, orders.Message) error { return errNoPeers }
func (noPeerTransport) Broadcast(orders.Message)                 {}
func (noPeerTransport) Witness() orders.Member                   { return orders.Member{} }
func (noPeerTransport) Successor() orders.Member                 { return orders.Member{} }

// orderHandler serves order requests and executes the commands of the order coordinator.
type orderHandler struct {
	instance    *Instance
	self        orders.Member
	keys        orders.Keyring
	ledger      *orders.Ledger
	coordinator *orders.Coordinator
	transport   orderTransport

	mu              sync.Mutex
	lastCallerID    uint64
	pendingReplies  map[uint64]chan orders.Outcome
	backgroundTasks atomic.Int64 // executions and message deliveries in progress
}

func newOrderHandler(in *Instance, self orders.Member, keys orders.Keyring, random interface{ Read([]byte) (int, error) }, transport orderTransport) *orderHandler {
	h := &orderHandler{instance: in, self: self, keys: keys, transport: transport, pendingReplies: map[uint64]chan orders.Outcome{}}
	h.ledger = orders.NewLedger(orders.LedgerOptions{Self: self, Keys: keys, Random: random})
	h.coordinator = orders.NewCoordinator(orders.CoordinatorOptions{
		Self:            self,
		Ledger:          h.ledger,
		Witness:         orders.NewWitness(orders.WitnessOptions{Self: self.Incarnation}),
		ImportedLedgers: orders.NewSuccessor(orders.SuccessorOptions{}),
	})
	return h
}

// orderRequest is the encoded form of an order that is sent to its owner. All fields are
// part of the hashed body, so that a ticket cannot be used for another path or team. It
// contains only what the caller sent and no result of the class rules, so that a resend
// after a configuration change still matches.
type orderRequest struct {
	Service     string
	Method      string
	URI         string
	ContentType string
	ClassHeader string
	Team        string
	Body        []byte
}

// issueTicket returns a new ticket for the team.
func (h *orderHandler) issueTicket(team string) (string, *apierror.Error) {
	t, err := h.ledger.Issue(h.instance.now(), team, h.transport.Witness())
	if err != nil {
		return "", apierror.New(apierror.Draining, "this instance issues no order tickets: "+err.Error())
	}
	return t.String(), nil
}

// handleOrder serves a request for a non-idempotent operation.
func (in *Instance) handleOrder(ctx *fasthttp.RequestCtx, s serviceRoute, t *team) *apierror.Error {
	header := string(ctx.Request.Header.Peek(headerTicket))
	if header == "" {
		if in.refuses() {
			return stoppingError()
		}
		e := apierror.New(apierror.TicketRequired, "send the order again with the ticket in "+headerTicket+"; it did not run")
		ticket, issueErr := in.orders.issueTicket(t.name)
		if issueErr != nil {
			return issueErr
		}
		e.Ticket = ticket
		return e
	}
	ticket, apiErr := in.orders.parseTicket(header, t)
	if apiErr != nil {
		return apiErr
	}
	if in.refuses() {
		return stoppingOrderError()
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
	outcome := in.orders.awaitOutcome(func(caller uint64) []orders.Command {
		return in.orders.coordinator.Submit(in.now(), caller, ticket, body)
	})
	in.metrics.orderOutcomes.WithLabelValues(outcome.Kind.String()).Inc()
	return in.orders.writeOutcome(ctx, outcome, t)
}

// handleOrderAPI serves requests for tickets and for the state of orders.
func (in *Instance) handleOrderAPI(ctx *fasthttp.RequestCtx, path string, t *team) *apierror.Error {
	if path == ticketsPath {
		if !ctx.IsPost() {
			return apierror.New(apierror.MethodNotAllowed, "tickets are requested by POST")
		}
		ticket, apiErr := in.orders.issueTicket(t.name)
		if apiErr != nil {
			return apiErr
		}
		return writeJSON(ctx, map[string]string{"ticket": ticket})
	}
	if !ctx.IsGet() {
		return apierror.New(apierror.MethodNotAllowed, "the state of an order is requested by GET")
	}
	ticket, apiErr := in.orders.parseTicket(strings.TrimPrefix(path, ordersPath), t)
	if apiErr != nil {
		return apiErr
	}
	outcome := in.orders.awaitOutcome(func(caller uint64) []orders.Command {
		return in.orders.coordinator.QueryStatus(in.now(), caller, ticket)
	})
	return writeJSON(ctx, map[string]string{"state": outcome.Kind.String()})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) *apierror.Error {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // only maps of strings are passed
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	return nil
}

// parseTicket verifies a ticket and checks that it was issued to the team. The run state of
// an unverifiable ticket is unknown: the ticket may be genuine if its key has been removed
// or if it was issued by an earlier process of an instance without peers, and an order may
// have run under it.
func (h *orderHandler) parseTicket(text string, t *team) (orders.Ticket, *apierror.Error) {
	ticket, err := h.keys.ParseText(text)
	if err != nil || ticket.Team != t.name {
		e := apierror.New(apierror.TicketInvalid, "the order ticket is not valid for this team; whether an order ran under it is not known")
		e.Run = apierror.Unknown
		return orders.Ticket{}, e
	}
	return ticket, nil
}

// awaitOutcome submits a caller's operation to the coordinator and waits for the outcome, at most until the instance
// stops.
func (h *orderHandler) awaitOutcome(submit func(caller uint64) []orders.Command) orders.Outcome {
	reply := make(chan orders.Outcome, 1)
	h.mu.Lock()
	h.lastCallerID++
	caller := h.lastCallerID
	h.pendingReplies[caller] = reply
	h.mu.Unlock()
	h.executeCommands(submit(caller))
	select {
	case outcome := <-reply:
		return outcome
	case <-h.instance.stop.answering.Done():
		return outcomeAtStop(reply)
	}
}

// writeOutcome writes the response for an outcome or returns an error response.
func (h *orderHandler) writeOutcome(ctx *fasthttp.RequestCtx, outcome orders.Outcome, t *team) *apierror.Error {
	switch outcome.Kind {
	case orders.Done:
		ctx.SetStatusCode(outcome.Response.Status)
		ctx.SetContentType(outcome.Response.ContentType)
		ctx.SetBody(outcome.Response.Body)
		return nil
	case orders.NotRun:
		e := apierror.New(apierror.OrderNotRun, "the order did not run and its ticket is closed; place it again with a new ticket")
		e.RetryAfter = orderRetryAfter
		if ticket, err := h.issueTicket(t.name); err == nil {
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

// orderRetryAfter is the Retry-After delay for an order that did not run.
const orderRetryAfter = time.Second

// executeCommands executes the commands of the coordinator. Long-running commands run in
// the background.
func (h *orderHandler) executeCommands(commands []orders.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case orders.Send:
			if _, isOutcome := c.Message.(orders.OutcomeReport); isOutcome {
				h.sendOutcome(c)
				continue
			}
			h.runInBackground(func() { h.send(c) })
		case orders.Broadcast:
			h.runInBackground(func() { h.transport.Broadcast(c.Message) })
		case orders.Execute:
			h.runInBackground(func() { h.execute(c) })
		case orders.Reply:
			h.reply(c)
		case orders.ScheduleRetry:
			h.executeAfter(c.Delay, func() []orders.Command { return h.coordinator.Retry(h.instance.now(), c.Request) })
		}
	}
}

// sendOutcome sends the outcome of an order to its witness before the response is sent to
// the caller, so that the response can be repeated if this instance is killed right after.
// An unreachable witness delays the response by at most outcomeSendTimeout.
func (h *orderHandler) sendOutcome(c orders.Send) {
	done := make(chan struct{})
	h.runInBackground(func() {
		defer close(done)
		h.send(c)
	})
	select {
	case <-done:
	case <-time.After(outcomeSendTimeout):
	}
}

// outcomeSendTimeout bounds the wait for the witness. The round trip between failure
// domains takes 3 ms.
const outcomeSendTimeout = 100 * time.Millisecond

func (h *orderHandler) runInBackground(fn func()) {
	h.backgroundTasks.Add(1)
	go func() {
		defer h.backgroundTasks.Add(-1)
		fn()
	}()
}

func (h *orderHandler) executeAfter(delay time.Duration, fn func() []orders.Command) {
	time.AfterFunc(delay, func() { h.executeCommands(fn()) })
}

func (h *orderHandler) reply(r orders.Reply) {
	h.mu.Lock()
	ch := h.pendingReplies[r.CallerID]
	delete(h.pendingReplies, r.CallerID)
	h.mu.Unlock()
	if ch != nil {
		ch <- r.Outcome
	}
}

// send sends a message to a peer. It reports a failure or a missing answer to the
// coordinator.
func (h *orderHandler) send(c orders.Send) {
	if err := h.transport.Send(c.To, c.Message); err != nil {
		h.executeCommands(h.coordinator.MessageFailed(h.instance.now(), c.Message))
		return
	}
	if timeout := answerTimeout(c.Message); timeout > 0 {
		h.executeAfter(timeout, func() []orders.Command { return h.coordinator.MessageFailed(h.instance.now(), c.Message) })
	}
}

// answerTimeout returns how long to wait for an answer to the message, or 0 if none is
// expected.
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
func (h *orderHandler) receive(from orders.Member, m orders.Message) {
	h.executeCommands(h.coordinator.Receive(h.instance.now(), from, m))
}

// execute sends the order to an upstream and reports the outcome to the coordinator.
func (h *orderHandler) execute(c orders.Execute) {
	outcome := h.executeOnce(c)
	h.executeCommands(h.coordinator.ExecutionFinished(h.instance.now(), c.Ticket.ID, outcome))
}

var outcomeNotRun = orders.Outcome{Kind: orders.NotRun}

// executeOnce sends the order at most once. Another upstream is tried only if the dial
// failed: once a byte may have been sent, the order is never sent again.
func (h *orderHandler) executeOnce(c orders.Execute) orders.Outcome {
	var order orderRequest
	if err := msgpack.Unmarshal(c.Body, &order); err != nil {
		return outcomeNotRun
	}
	r, ok := h.newRequest(order, c.Ticket)
	if !ok {
		return outcomeNotRun
	}
	defer r.cancel()
	for range maxOrderDials {
		pick, apiErr := r.acquireSlot()
		if apiErr != nil {
			return outcomeNotRun
		}
		a := r.newAttempt(pick)
		outcome, sent := h.sendOrder(a, order, c.Ticket)
		if sent {
			return outcome
		}
		r.failedUpstreams = append(r.failedUpstreams, pick.Upstream.Name)
		r.retried = true
	}
	return outcomeNotRun
}

// newRequest creates the queued request of an order. Its context is independent of the
// caller's connection, so an order continues if the caller disconnects.
func (h *orderHandler) newRequest(order orderRequest, t orders.Ticket) (*request, bool) {
	routes := h.instance.routes.Load()
	if routes == nil {
		return nil, false
	}
	route, found := routes.matchService(order.URI)
	if !found || route.service.Name != order.Service {
		return nil, false
	}
	path, _, _ := strings.Cut(order.URI, "?")
	class, apiErr := routes.resolveClass(order.ClassHeader, path, "", route.service.Class, &team{name: order.Team})
	if apiErr != nil {
		return nil, false
	}
	r := &request{
		id:          newRequestID(),
		queueID:     h.instance.requestSeq.Add(1),
		team:        &team{name: order.Team},
		class:       class,
		pool:        route.pool,
		arrived:     h.instance.now(),
		fingerprint: h.instance.fingerprint(order.Team, t.ID[:]),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, true
}

// sendOrder sends the order over a new connection. The second result is false if no byte
// has been sent.
func (h *orderHandler) sendOrder(a *attempt, order orderRequest, t orders.Ticket) (orders.Outcome, bool) {
	limits := h.instance.settings.Limits
	err := a.send(upstream.Call{
		Request:         order.httpRequest(a, t),
		FreshConnection: true,
		HeaderTimeout:   limits.AnswerTimeout.Std(),
		BeforeSend:      func() bool { return h.coordinator.MarkSending(h.instance.now(), t.ID) },
	})
	if err != nil {
		a.fail(err)
		return orders.Outcome{Kind: orders.Unknown}, maybeSent(err)
	}
	body, err := a.readBody(limits.MaxAnswerBytes, limits.AnswerTimeout.Std())
	if err != nil {
		a.fail(err)
		return orders.Outcome{Kind: orders.Unknown}, true
	}
	a.recordToken()
	response := orders.Response{
		Status:      a.response.Response.StatusCode(),
		ContentType: string(a.response.Response.Header.ContentType()),
		Body:        body,
	}
	a.finish(balancer.OK)
	return orders.Outcome{Kind: orders.Done, Response: response}, true
}

// httpRequest builds the HTTP request of an order.
func (o orderRequest) httpRequest(a *attempt, t orders.Ticket) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(o.Method)
	req.SetRequestURI("http://" + a.pick.Upstream.Address + o.URI)
	req.Header.SetContentType(o.ContentType)
	req.Header.Set(headerTeam, o.Team)
	req.Header.Set(headerTicket, t.String())
	a.request.setUpstreamHeaders(&req.Header, a.request.pool.instance.now())
	req.SetBodyRaw(o.Body)
	return req
}
