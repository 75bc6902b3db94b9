package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

const (
	pathTickets       = "/v1/orders/tickets"
	headerClass       = "X-Class"
	maxErrorBodyBytes = 1 << 20
	runNotRun         = "not_run" // value of apiError.Run: the request did not run
)

// apiError is the error object of an error response or an error event. Run says whether the
// request ran, as far as the system knows.
type apiError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Run          string `json:"run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	// Ticket is the new ticket offered for an order that did not run.
	Ticket string `json:"ticket"`
}

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	outcomeAnswered  attemptOutcome = iota
	outcomeRefused                  // error response instead of a stream or a result
	outcomeBroken                   // the connection broke, or the stream broke or reported an error
	outcomeAbandoned                // the caller closed the connection
	outcomeTimedOut                 // a time limit expired, or the run was interrupted
)

// attemptResult is the result of one attempt of a chat request or an order.
type attemptResult struct {
	outcome      attemptOutcome
	apiError     apiError
	firstTokenAt time.Time // time of the first token, or of a complete response
	lastTokenAt  time.Time // for a JSON response the same as firstTokenAt; not set for orders
	tokens       int
	violations   []Violation
}

// newHTTPClient returns a client for streamed responses, which closes the connection of a
// request when the context of the request ends.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: newReuseTransport()}
}

// entryRequest is a request to an entry instance.
type entryRequest struct {
	entryAddress, path string
	key, class         string
	ticket             string
	body               []byte
}

// send posts a request to its entry address and returns the response with an open body.
func (r *runner) send(ctx context.Context, entryReq entryRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryReq.entryAddress+entryReq.path, bytes.NewReader(entryReq.body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, the client would silently retry a request on a broken idle
	// connection, and that attempt would not be counted.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+entryReq.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerClass, entryReq.class)
	if entryReq.ticket != "" {
		req.Header.Set(emulator.HeaderOrderTicket, entryReq.ticket)
	}
	return r.http.Do(req)
}

// sendChat makes one attempt of a chat request and verifies the response.
func (r *runner) sendChat(ctx context.Context, entryReq entryRequest, tag string, arrival Arrival) attemptResult {
	res, err := r.send(ctx, entryReq)
	if err != nil {
		return attemptResult{outcome: interruptedOutcome(ctx)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readErrorResponse(ctx, res)
	}
	checker := &responseChecker{tag: tag, headerID: res.Header.Get(emulator.HeaderRequestID), wantTokens: arrival.OutputTokens}
	var result attemptResult
	if arrival.JSON {
		result = readJSONResponse(ctx, res.Body, checker)
	} else {
		result = readStream(ctx, res.Body, checker)
	}
	result.tokens, result.violations = checker.tokensReceived, checker.violations
	return result
}

// interruptedOutcome distinguishes an abandoned request, an expired time limit and a
// broken connection.
func interruptedOutcome(ctx context.Context) attemptOutcome {
	switch context.Cause(ctx) {
	case nil:
		return outcomeBroken
	case errCallerAbandoned:
		return outcomeAbandoned
	}
	return outcomeTimedOut
}

// readErrorResponse reads an error object. A response without one gets a code made from its
// HTTP status.
func readErrorResponse(ctx context.Context, res *http.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	if err != nil {
		return attemptResult{outcome: interruptedOutcome(ctx)}
	}
	var errorResponse struct {
		Error apiError `json:"error"`
	}
	if json.Unmarshal(body, &errorResponse) != nil || errorResponse.Error.Code == "" {
		errorResponse.Error.Code = "status_" + http.StatusText(res.StatusCode)
	}
	if errorResponse.Error.Ticket == "" {
		errorResponse.Error.Ticket = res.Header.Get(emulator.HeaderOrderTicket)
	}
	return attemptResult{outcome: outcomeRefused, apiError: errorResponse.Error}
}

func readJSONResponse(ctx context.Context, body io.Reader, checker *responseChecker) attemptResult {
	text, err := io.ReadAll(body)
	if err != nil {
		return attemptResult{outcome: interruptedOutcome(ctx)}
	}
	now := time.Now()
	var response emulator.ChatResponse
	if err := json.Unmarshal(text, &response); err != nil {
		checker.addViolation(Unparsable, "%v", err)
	} else {
		checker.checkJSON(&response)
	}
	return attemptResult{outcome: outcomeAnswered, firstTokenAt: now, lastTokenAt: now}
}

// streamEvent is an event of a stream: a chunk of the response or an error.
type streamEvent struct {
	emulator.ChatResponse
	Error *apiError `json:"error"`
}

func readStream(ctx context.Context, body io.Reader, checker *responseChecker) attemptResult {
	var result attemptResult
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		data, isData := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data: ")
		switch {
		case err == io.EOF || isData && data == "[DONE]":
			checker.checkComplete()
			result.outcome = outcomeAnswered
			return result
		case err != nil:
			result.outcome = interruptedOutcome(ctx)
			return result
		case !isData:
			continue
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			checker.addViolation(Unparsable, "%v", err)
			continue
		}
		if event.Error != nil {
			result.outcome, result.apiError = outcomeBroken, *event.Error
			return result
		}
		if checker.checkEvent(&event.ChatResponse) {
			result.lastTokenAt = time.Now()
			if result.firstTokenAt.IsZero() {
				result.firstTokenAt = result.lastTokenAt
			}
		}
	}
}
