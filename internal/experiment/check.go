package experiment

import (
	"fmt"
	"strings"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// ViolationKind is the kind of a violated guarantee.
type ViolationKind string

// The kinds of violations.
const (
	// ForeignResponse: the response belongs to another request.
	ForeignResponse ViolationKind = "foreign_answer"
	// MixedResponse: the response identifier changes within one response.
	MixedResponse ViolationKind = "mixed_answer"
	// WrongToken: a token is missing, repeated, out of order or altered.
	WrongToken ViolationKind = "wrong_token"
	// WrongChecksum: the received text does not match the checksum of the response.
	WrongChecksum ViolationKind = "wrong_checksum"
	// WrongLength: the number of tokens differs from the requested one.
	WrongLength ViolationKind = "wrong_length"
	// Truncated: the response ended without an error and without its last event.
	Truncated ViolationKind = "truncated"
	// Unparsable: the response does not follow the protocol.
	Unparsable ViolationKind = "unparsable"
	// RanAfterNotRun: a request that was answered with "not run" was executed.
	RanAfterNotRun ViolationKind = "ran_after_not_run"
	// RepeatedOrder: an order was executed more than once.
	RepeatedOrder ViolationKind = "repeated_order"
	// OrderNotExecuted: an order was answered with success but was not executed.
	OrderNotExecuted ViolationKind = "order_not_executed"
)

// Violation is one violated guarantee.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Tag    string        `json:"tag"`
	Detail string        `json:"detail"`
}

// responseChecker verifies one response, event by event.
type responseChecker struct {
	tag           string // value of emulate.echo in the request
	requestID     string // X-Request-Id header of the response, if any
	wantTokens    int    // requested output tokens
	responseID    string
	nextIndex     int
	text          strings.Builder
	lastEventSeen bool
	violations    []Violation
}

func (c *responseChecker) addViolation(kind ViolationKind, format string, args ...any) {
	c.violations = append(c.violations, Violation{Kind: kind, Tag: c.tag, Detail: fmt.Sprintf(format, args...)})
}

// checkIdentity checks the echoed tag and the identifier of an event or a JSON response.
func (c *responseChecker) checkIdentity(response *emulator.ChatResponse) {
	if response.Echo != c.tag {
		c.addViolation(ForeignResponse, "echo %q", response.Echo)
	}
	if c.responseID == "" {
		c.responseID = response.ID
		if c.requestID != "" && c.requestID != response.ID {
			c.addViolation(MixedResponse, "header %q, event %q", c.requestID, response.ID)
		}
	}
	if response.ID != c.responseID {
		c.addViolation(MixedResponse, "event %q after %q", response.ID, c.responseID)
	}
}

// checkEvent checks one event of a stream and reports whether it carries a token.
func (c *responseChecker) checkEvent(response *emulator.ChatResponse) bool {
	c.checkIdentity(response)
	if response.Token == nil {
		c.checkLastEvent(response)
		return false
	}
	text := ""
	if len(response.Choices) == 1 && response.Choices[0].Delta != nil {
		text = response.Choices[0].Delta.Content
	}
	if *response.Token != c.nextIndex || text != emulator.TokenText(response.ID, c.nextIndex) {
		c.addViolation(WrongToken, "token %d has the text %q, want token %d", *response.Token, text, c.nextIndex)
	}
	c.nextIndex++
	c.text.WriteString(text)
	return true
}

// checkJSON checks a JSON response.
func (c *responseChecker) checkJSON(response *emulator.ChatResponse) {
	c.checkIdentity(response)
	if len(response.Choices) == 1 && response.Choices[0].Message != nil {
		c.text.WriteString(response.Choices[0].Message.Content)
	}
	c.nextIndex = c.wantTokens
	if c.text.String() != emulator.ResponseText(response.ID, c.wantTokens) {
		c.addViolation(WrongToken, "the text differs from the expected text")
	}
	c.checkLastEvent(response)
}

// checkLastEvent checks the checksum and the length at the end of a response.
func (c *responseChecker) checkLastEvent(response *emulator.ChatResponse) {
	c.lastEventSeen = true
	if response.Checksum != emulator.Checksum(c.text.String()) {
		c.addViolation(WrongChecksum, "checksum %q", response.Checksum)
	}
	if c.nextIndex != c.wantTokens {
		c.addViolation(WrongLength, "%d tokens, want %d", c.nextIndex, c.wantTokens)
	}
}

// checkComplete reports a stream that ended without an error but before its last event.
func (c *responseChecker) checkComplete() {
	if !c.lastEventSeen {
		c.addViolation(Truncated, "ended after %d of %d tokens", c.nextIndex, c.wantTokens)
	}
}
