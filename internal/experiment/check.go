package experiment

import (
	"fmt"
	"strings"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// ViolationKind names a broken promise.
type ViolationKind string

// The violations that the checker finds.
const (
	// ForeignAnswer: the answer belongs to another request.
	ForeignAnswer ViolationKind = "foreign_answer"
	// MixedAnswer: the identifier changes within one answer.
	MixedAnswer ViolationKind = "mixed_answer"
	// WrongToken: a token is missing, repeated, out of order or altered.
	WrongToken ViolationKind = "wrong_token"
	// WrongChecksum: the text does not match the checksum.
	WrongChecksum ViolationKind = "wrong_checksum"
	// WrongLength: the answer has another number of tokens than asked for.
	WrongLength ViolationKind = "wrong_length"
	// Truncated: the answer ended without an error and without its last event.
	Truncated ViolationKind = "truncated"
	// Unparsable: the answer is not in the protocol's form.
	Unparsable ViolationKind = "unparsable"
	// RanAfterNotRun: a request that was answered with "not run" has run.
	RanAfterNotRun ViolationKind = "ran_after_not_run"
	// RepeatedOrder: an order ran more than once.
	RepeatedOrder ViolationKind = "repeated_order"
	// OrderNotExecuted: an order was answered with success but has not run.
	OrderNotExecuted ViolationKind = "order_not_executed"
)

// Violation is one broken promise.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Tag    string        `json:"tag"`
	Detail string        `json:"detail"`
}

// checker verifies one answer, event by event.
type checker struct {
	tag      string // what the request sent as emulate.echo
	header   string // X-Request-Id of the answer, if any
	want     int    // tokens asked for
	id       string
	next     int
	text     strings.Builder
	finished bool
	found    []Violation
}

func (c *checker) fail(kind ViolationKind, format string, args ...any) {
	c.found = append(c.found, Violation{Kind: kind, Tag: c.tag, Detail: fmt.Sprintf(format, args...)})
}

// identity checks what every event and answer carries.
func (c *checker) identity(a *emulator.ChatResponse) {
	if a.Echo != c.tag {
		c.fail(ForeignAnswer, "echo %q", a.Echo)
	}
	if c.id == "" {
		c.id = a.ID
		if c.header != "" && c.header != a.ID {
			c.fail(MixedAnswer, "header %q, event %q", c.header, a.ID)
		}
	}
	if a.ID != c.id {
		c.fail(MixedAnswer, "event %q after %q", a.ID, c.id)
	}
}

// event checks one event of a stream and reports whether it carries a token.
func (c *checker) event(a *emulator.ChatResponse) bool {
	c.identity(a)
	if a.Token == nil {
		c.end(a)
		return false
	}
	text := ""
	if len(a.Choices) == 1 && a.Choices[0].Delta != nil {
		text = a.Choices[0].Delta.Content
	}
	if *a.Token != c.next || text != emulator.TokenText(a.ID, c.next) {
		c.fail(WrongToken, "token %d has the text %q, want token %d", *a.Token, text, c.next)
	}
	c.next++
	c.text.WriteString(text)
	return true
}

// whole checks a JSON answer.
func (c *checker) whole(a *emulator.ChatResponse) {
	c.identity(a)
	if len(a.Choices) == 1 && a.Choices[0].Message != nil {
		c.text.WriteString(a.Choices[0].Message.Content)
	}
	c.next = c.want
	if c.text.String() != emulator.ResponseText(a.ID, c.want) {
		c.fail(WrongToken, "the text differs")
	}
	c.end(a)
}

// end checks the last event.
func (c *checker) end(a *emulator.ChatResponse) {
	c.finished = true
	if a.Checksum != emulator.Checksum(c.text.String()) {
		c.fail(WrongChecksum, "checksum %q", a.Checksum)
	}
	if c.next != c.want {
		c.fail(WrongLength, "%d tokens, want %d", c.next, c.want)
	}
}

// done is called when the answer has ended without an error.
func (c *checker) done() {
	if !c.finished {
		c.fail(Truncated, "ended after %d of %d tokens", c.next, c.want)
	}
}
