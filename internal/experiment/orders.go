package experiment

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// orderState is what the caller of an order knows at the end.
type orderState int

const (
	orderAnswered orderState = iota
	orderNotRun
	orderUnknown
)

// orderResult is the result of one order with all its tries.
type orderResult struct {
	state  orderState
	order  string
	ticket string // the ticket sent last
	// notRun lists the tickets that were answered with "not run" and not sent again.
	notRun     []string
	answeredAt time.Time
	tries      int
	failures   []apiError
	violations []Violation
}

// order asks for a ticket and sends the order with it. A lost or "unknown" answer is
// resolved by sending the same ticket through another entry address; a new ticket is
// used only when the system itself offers one with "not run".
func (r *runner) order(ctx context.Context, c call, tag string) orderResult {
	load := r.scenario.Orders
	out := orderResult{state: orderNotRun, order: tag}
	c.body, _ = json.Marshal(struct {
		Order string `json:"order"`
	}{tag})
	c.path = load.Path
	c.ticket = r.ticket(ctx, c)
	for out.tries < load.Attempts {
		if out.tries > 0 && !sleep(ctx, r.orderPause(out)) {
			break
		}
		out.tries++
		out.ticket, c.target = c.ticket, r.nextTarget()
		t := r.tryOrder(ctx, c, tag)
		out.violations = append(out.violations, t.violations...)
		if t.ending == answered {
			out.state, out.answeredAt = orderAnswered, t.first
			return out
		}
		out.note(t)
		if t.failure.Ticket != "" && t.failure.Ticket != c.ticket {
			if t.failure.Run == runNotRun && c.ticket != "" {
				out.notRun = append(out.notRun, c.ticket)
			}
			c.ticket = t.failure.Ticket
		}
	}
	if out.state == orderNotRun && out.tries > 0 && out.ticket != "" {
		out.notRun = append(out.notRun, out.ticket)
	}
	return out
}

// note keeps what the last try says about the order.
func (o *orderResult) note(t attempt) {
	if t.ending != refused {
		o.state = orderUnknown
		return
	}
	o.failures = append(o.failures, t.failure)
	switch t.failure.Run {
	case runNotRun:
		o.state = orderNotRun
	default:
		o.state = orderUnknown
	}
}

// orderPause is the pause before the next try; an answer can ask for a longer one.
func (r *runner) orderPause(o orderResult) time.Duration {
	pause := r.scenario.Orders.Pause.Std()
	if n := len(o.failures); n > 0 && o.state == orderNotRun {
		pause = max(pause, time.Duration(o.failures[n-1].RetryAfterMs)*time.Millisecond)
	}
	return pause
}

// ticket asks the entry addresses in turn. The empty ticket is sent when none
// answers: the order's own answer offers one then.
func (r *runner) ticket(ctx context.Context, c call) string {
	c.path, c.body = pathTickets, nil
	for range len(r.scenario.Targets) {
		c.target = r.nextTarget()
		if ticket := r.tryTicket(ctx, c); ticket != "" {
			return ticket
		}
	}
	return ""
}

func (r *runner) tryTicket(ctx context.Context, c call) string {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Orders.Timeout.Std())
	defer cancel()
	res, err := r.send(ctx, c)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var answer struct {
		Ticket string `json:"ticket"`
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil || res.StatusCode/100 != 2 {
		return ""
	}
	if json.Unmarshal(body, &answer) == nil && answer.Ticket != "" {
		return answer.Ticket
	}
	return res.Header.Get(emulator.HeaderOrderTicket)
}

// tryOrder sends the order once and checks that the answer is its own.
func (r *runner) tryOrder(ctx context.Context, c call, tag string) attempt {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Orders.Timeout.Std())
	defer cancel()
	res, err := r.send(ctx, c)
	if err != nil {
		return attempt{ending: interrupted(ctx)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readFailure(ctx, res)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return attempt{ending: interrupted(ctx)}
	}
	t := attempt{ending: answered, first: time.Now()}
	k := checker{tag: tag}
	var a emulator.ServiceResponse
	if err := json.Unmarshal(body, &a); err != nil {
		k.fail(Unparsable, "%v", err)
	} else if a.BodyChecksum != emulator.Checksum(string(c.body)) {
		k.fail(ForeignAnswer, "the answer is for the order %q", a.Key)
	}
	t.violations = k.found
	return t
}

// sleep waits for d; it reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
