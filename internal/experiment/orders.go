package experiment

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// orderState is the final state of an order from its caller's point of view.
type orderState int

const (
	orderAnswered orderState = iota
	orderNotRun
	orderUnknown
)

// orderResult is the result of one order over all its attempts.
type orderResult struct {
	state   orderState
	orderID string
	ticket  string // ticket of the last attempt
	// notRunTickets lists the tickets that were answered with "not run" and not sent again.
	notRunTickets []string
	answeredAt    time.Time
	attempts      int
	failures      []apiError
	violations    []Violation
}

// sendOrder obtains a ticket and sends the order with it. A lost response or the result
// "unknown" is resolved by sending the same ticket to the next entry address. A new
// ticket is used only if the system itself offers one, as it does with "not run".
func (r *runner) sendOrder(ctx context.Context, entryReq entryRequest, tag string) orderResult {
	orderLoad := r.scenario.Orders
	result := orderResult{state: orderNotRun, orderID: tag}
	entryReq.body, _ = json.Marshal(struct {
		Order string `json:"order"`
	}{tag})
	entryReq.path = orderLoad.Path
	entryReq.ticket = r.obtainTicket(ctx, entryReq)
	for result.attempts < orderLoad.Attempts {
		if result.attempts > 0 && !sleep(ctx, r.orderRetryDelay(result)) {
			break
		}
		result.attempts++
		result.ticket, entryReq.target = entryReq.ticket, r.nextTarget()
		last := r.attemptOrder(ctx, entryReq, tag)
		result.violations = append(result.violations, last.violations...)
		if last.outcome == outcomeAnswered {
			result.state, result.answeredAt = orderAnswered, last.firstTokenAt
			return result
		}
		result.recordAttempt(last)
		if last.apiError.Ticket != "" && last.apiError.Ticket != entryReq.ticket {
			if last.apiError.Run == runNotRun && entryReq.ticket != "" {
				result.notRunTickets = append(result.notRunTickets, entryReq.ticket)
			}
			entryReq.ticket = last.apiError.Ticket
		}
	}
	if result.state == orderNotRun && result.attempts > 0 && result.ticket != "" {
		result.notRunTickets = append(result.notRunTickets, result.ticket)
	}
	return result
}

// recordAttempt updates the state of the order after an attempt that did not succeed.
func (o *orderResult) recordAttempt(last attempt) {
	if last.outcome != outcomeRefused {
		o.state = orderUnknown
		return
	}
	o.failures = append(o.failures, last.apiError)
	switch last.apiError.Run {
	case runNotRun:
		o.state = orderNotRun
	default:
		o.state = orderUnknown
	}
}

// orderRetryDelay returns the delay before the next attempt: the configured pause, or the
// delay that a "not run" response asks for if that is longer.
func (r *runner) orderRetryDelay(o orderResult) time.Duration {
	pause := r.scenario.Orders.Pause.Std()
	if n := len(o.failures); n > 0 && o.state == orderNotRun {
		pause = max(pause, time.Duration(o.failures[n-1].RetryAfterMs)*time.Millisecond)
	}
	return pause
}

// obtainTicket requests a ticket from the entry addresses in turn. It returns the empty
// string if none issues one; the response to the order then offers a ticket.
func (r *runner) obtainTicket(ctx context.Context, entryReq entryRequest) string {
	entryReq.path, entryReq.body = pathTickets, nil
	for range len(r.scenario.Targets) {
		entryReq.target = r.nextTarget()
		if ticket := r.requestTicket(ctx, entryReq); ticket != "" {
			return ticket
		}
	}
	return ""
}

func (r *runner) requestTicket(ctx context.Context, entryReq entryRequest) string {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Orders.Timeout.Std())
	defer cancel()
	res, err := r.send(ctx, entryReq)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var response struct {
		Ticket string `json:"ticket"`
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	if err != nil || res.StatusCode/100 != 2 {
		return ""
	}
	if json.Unmarshal(body, &response) == nil && response.Ticket != "" {
		return response.Ticket
	}
	return res.Header.Get(emulator.HeaderOrderTicket)
}

// attemptOrder sends the order once and checks that the response belongs to it.
func (r *runner) attemptOrder(ctx context.Context, entryReq entryRequest, tag string) attempt {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Orders.Timeout.Std())
	defer cancel()
	res, err := r.send(ctx, entryReq)
	if err != nil {
		return attempt{outcome: interruptedOutcome(ctx)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readErrorResponse(ctx, res)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return attempt{outcome: interruptedOutcome(ctx)}
	}
	result := attempt{outcome: outcomeAnswered, firstTokenAt: time.Now()}
	checker := responseChecker{tag: tag}
	var response emulator.ServiceResponse
	if err := json.Unmarshal(body, &response); err != nil {
		checker.addViolation(Unparsable, "%v", err)
	} else if response.BodyChecksum != emulator.Checksum(string(entryReq.body)) {
		checker.addViolation(ForeignResponse, "the response belongs to order %q", response.Key)
	}
	result.violations = checker.violations
	return result
}

// sleep waits for d. It returns false if ctx ends first.
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
