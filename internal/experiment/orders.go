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
	orderNotRun              // the last attempt was answered with "not run", or none was made
	orderUnknown             // the order may have run
)

// orderResult is the result of one order over all its attempts.
type orderResult struct {
	state   orderState
	orderID string // tag of the order, sent in its body
	ticket  string // ticket of the last attempt
	// notRunTickets lists the tickets that were answered with "not run" and not sent again.
	notRunTickets []string
	answeredAt    time.Time
	attempts      int
	apiErrors     []apiError // of all attempts that got an error response
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
		result.ticket, entryReq.entryAddress = entryReq.ticket, r.nextEntryAddress()
		attempt := r.attemptOrder(ctx, entryReq, tag)
		result.violations = append(result.violations, attempt.violations...)
		if attempt.outcome == outcomeAnswered {
			result.state, result.answeredAt = orderAnswered, attempt.firstTokenAt
			return result
		}
		result.recordUnsuccessfulAttempt(attempt)
		if attempt.apiError.Ticket != "" && attempt.apiError.Ticket != entryReq.ticket {
			if attempt.apiError.Run == runNotRun && entryReq.ticket != "" {
				result.notRunTickets = append(result.notRunTickets, entryReq.ticket)
			}
			entryReq.ticket = attempt.apiError.Ticket
		}
	}
	if result.state == orderNotRun && result.attempts > 0 && result.ticket != "" {
		result.notRunTickets = append(result.notRunTickets, result.ticket)
	}
	return result
}

// recordUnsuccessfulAttempt updates the state of the order after an attempt that did not succeed.
func (o *orderResult) recordUnsuccessfulAttempt(attempt attemptResult) {
	if attempt.outcome != outcomeRefused {
		o.state = orderUnknown
		return
	}
	o.apiErrors = append(o.apiErrors, attempt.apiError)
	switch attempt.apiError.Run {
	case runNotRun:
		o.state = orderNotRun
	default:
		o.state = orderUnknown
	}
}

// orderRetryDelay returns the delay before the next attempt: the configured pause, or the
// delay that a "not run" response asks for if that is longer.
func (r *runner) orderRetryDelay(o orderResult) time.Duration {
	delay := r.scenario.Orders.Pause.Std()
	if n := len(o.apiErrors); n > 0 && o.state == orderNotRun {
		delay = max(delay, time.Duration(o.apiErrors[n-1].RetryAfterMs)*time.Millisecond)
	}
	return delay
}

// obtainTicket requests a ticket from the entry addresses in turn. It returns the empty
// string if none issues one; the response to the order then offers a ticket.
func (r *runner) obtainTicket(ctx context.Context, entryReq entryRequest) string {
	entryReq.path, entryReq.body = pathTickets, nil
	for range len(r.scenario.EntryAddresses) {
		entryReq.entryAddress = r.nextEntryAddress()
		if ticket := r.requestTicket(ctx, entryReq); ticket != "" {
			return ticket
		}
	}
	return ""
}

// requestTicket requests a ticket from one entry address. It returns the empty string if none
// is issued.
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

// attemptOrder sends the order once and checks, by the checksum of the body, that the response
// belongs to it.
func (r *runner) attemptOrder(ctx context.Context, entryReq entryRequest, tag string) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Orders.Timeout.Std())
	defer cancel()
	res, err := r.send(ctx, entryReq)
	if err != nil {
		return attemptResult{outcome: interruptedOutcome(ctx)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readErrorResponse(ctx, res)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return attemptResult{outcome: interruptedOutcome(ctx)}
	}
	result := attemptResult{outcome: outcomeAnswered, firstTokenAt: time.Now()}
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
