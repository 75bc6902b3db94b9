package experiment

import (
	"fmt"
	"strings"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// ViolationKind is the kind of a violated guarantee.
type ViolationKind string

const (
	// ForeignResponse: the response belongs to another request.
	ForeignResponse ViolationKind = "foreign_answer"
	// MixedResponse: the response identifier changes within a response, or that in the header
	// differs from the one in the first event or in the JSON body.
	MixedResponse ViolationKind = "mixed_answer"
	// WrongToken: a token of a stream is missing, repeated, out of order or altered, or the
	// text of a JSON response is not the expected one.
	WrongToken ViolationKind = "wrong_token"
	// WrongChecksum: the received text does not match the checksum of the response.
	WrongChecksum ViolationKind = "wrong_checksum"
	// WrongLength: the number of tokens differs from the requested one.
	WrongLength ViolationKind = "wrong_length"
	// Truncated: the response ended without an error and without its final event.
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
	Kind ViolationKind `json:"kind"`
	// Tag is the tag of the attempt, or of the order.
	Tag    string `json:"tag"`
	Detail string `json:"detail"`
}

// responseChecker verifies one response: a stream event by event, or a JSON response as a
// whole. The checks of orders use only its tag and its list of violations.
type responseChecker struct {
	// tag identifies the attempt. The request carries it in emulate.echo, and the engine
	// stand-in repeats it in the field Echo of each event or of the JSON response.
	tag string
	// headerID and bodyID are two copies of the response identifier: that in the X-Request-Id
	// header, if any, and that in the first event or the JSON body.
	headerID       string
	wantTokens     int // requested output tokens
	bodyID         string
	tokensReceived int // also the index of the next token of a stream
	receivedText   strings.Builder
	finalEventSeen bool
	violations     []Violation
}

func (c *responseChecker) addViolation(kind ViolationKind, format string, args ...any) {
	c.violations = append(c.violations, Violation{Kind: kind, Tag: c.tag, Detail: fmt.Sprintf(format, args...)})
}

// checkIdentity checks the echoed tag and the response identifier in part, which is an event
// of a stream or a whole JSON response.
func (c *responseChecker) checkIdentity(part *emulator.ChatResponse) {
	if part.Echo != c.tag {
		c.addViolation(ForeignResponse, "echo %q", part.Echo)
	}
	if c.bodyID == "" {
		c.bodyID = part.ID
		if c.headerID != "" && c.headerID != part.ID {
			c.addViolation(MixedResponse, "header %q, event %q", c.headerID, part.ID)
		}
	}
	if part.ID != c.bodyID {
		c.addViolation(MixedResponse, "event %q after %q", part.ID, c.bodyID)
	}
}

// checkEvent checks one event of a stream and reports whether it carries a token. An event
// without a token is taken for the final event. event.Token is the index of the token.
func (c *responseChecker) checkEvent(event *emulator.ChatResponse) bool {
	c.checkIdentity(event)
	if event.Token == nil {
		c.checkEnd(event)
		return false
	}
	text := ""
	if len(event.Choices) == 1 && event.Choices[0].Delta != nil {
		text = event.Choices[0].Delta.Content
	}
	if *event.Token != c.tokensReceived || text != emulator.TokenText(event.ID, c.tokensReceived) {
		c.addViolation(WrongToken, "token %d has the text %q, want token %d", *event.Token, text, c.tokensReceived)
	}
	c.tokensReceived++
	c.receivedText.WriteString(text)
	return true
}

// checkJSON checks a JSON response, which is also its own final event.
func (c *responseChecker) checkJSON(response *emulator.ChatResponse) {
	c.checkIdentity(response)
	if len(response.Choices) == 1 && response.Choices[0].Message != nil {
		c.receivedText.WriteString(response.Choices[0].Message.Content)
	}
	// The comparison of the text covers the length.
	c.tokensReceived = c.wantTokens
	if c.receivedText.String() != emulator.ResponseText(response.ID, c.wantTokens) {
		c.addViolation(WrongToken, "the text differs from the expected text")
	}
	c.checkEnd(response)
}

// checkEnd checks the checksum and the length of a response. part is the final event of a
// stream or a whole JSON response.
func (c *responseChecker) checkEnd(part *emulator.ChatResponse) {
	c.finalEventSeen = true
	if part.Checksum != emulator.Checksum(c.receivedText.String()) {
		c.addViolation(WrongChecksum, "checksum %q", part.Checksum)
	}
	if c.tokensReceived != c.wantTokens {
		c.addViolation(WrongLength, "%d tokens, want %d", c.tokensReceived, c.wantTokens)
	}
}

// checkComplete adds a violation if a stream ended without an error but before its final event.
func (c *responseChecker) checkComplete() {
	if !c.finalEventSeen {
		c.addViolation(Truncated, "ended after %d of %d tokens", c.tokensReceived, c.wantTokens)
	}
}
