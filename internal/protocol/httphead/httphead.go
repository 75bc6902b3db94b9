// Package httphead checks the heads of HTTP/1.1 responses more strictly than the HTTP library, which accepts blanks in the
// names of fields, control bytes in the reason, and a framing that is ambiguous. A recipient that passes on such a head passes
// on bytes that the next one may read in another way.
package httphead

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Checker checks the lines of a head as they arrive. The zero value expects the head of a response.
type Checker struct {
	status              int // 0 before the status line
	version             string
	inFields            bool
	canFold             bool // the line before may be continued
	hasLength           bool
	hasTransferEncoding bool
}

// NewTrailerChecker returns a Checker of the trailer of a body in chunks, which has no status line.
func NewTrailerChecker() *Checker { return &Checker{inFields: true} }

// Status returns the status code; 0 before the status line has been checked.
func (c *Checker) Status() int { return c.status }

// Check checks the complete lines at the start of data and returns their length. The next call continues behind them.
// ended is true when the last of them ends the head. An error is final.
func (c *Checker) Check(data []byte) (length int, ended bool, err error) {
	for !ended && err == nil {
		i := bytes.IndexByte(data[length:], '\n')
		if i < 0 {
			return length, false, nil
		}
		line := bytes.TrimSuffix(data[length:length+i], []byte("\r"))
		length += i + 1
		ended, err = c.checkLine(line)
	}
	return length, ended, err
}

func (c *Checker) checkLine(line []byte) (ended bool, err error) {
	switch {
	case !c.inFields && len(line) == 0:
		return false, nil // blank lines before the status line are ignored
	case !c.inFields:
		c.inFields = true
		return false, c.checkStatusLine(line)
	case len(line) == 0:
		return true, c.checkFraming()
	case c.canFold && (line[0] == ' ' || line[0] == '\t'):
		return false, checkText("folded line", line)
	}
	c.canFold = true
	nameText, value, found := bytes.Cut(line, []byte(":"))
	name := string(nameText)
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return false, invalid("name of a field", line)
	}
	c.hasLength = c.hasLength || strings.EqualFold(name, "Content-Length")
	c.hasTransferEncoding = c.hasTransferEncoding || strings.EqualFold(name, "Transfer-Encoding")
	return false, checkText("value of a field", value)
}

// errAmbiguousFraming reports a head from which recipients read different ends of the body: the HTTP library decodes no chunks
// of other versions than 1.1, and ignores a length beside chunks.
var errAmbiguousFraming = errors.New("ambiguous framing in the head of a response: a transfer encoding beside a length, or not in HTTP/1.1")

func (c *Checker) checkFraming() error {
	if c.hasTransferEncoding && (c.hasLength || c.version != http11) {
		return errAmbiguousFraming
	}
	return nil
}

const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// statusDigits is the length of a status code.
const statusDigits = 3

func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	c.version = string(version)
	if c.version != http10 && c.version != http11 {
		return invalid("version", line)
	}
	code, reason := rest[:min(statusDigits, len(rest))], rest[min(statusDigits, len(rest)):]
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) < statusDigits || len(reason) > 0 && reason[0] != ' ' {
		return invalid("status line", line)
	}
	if status < minStatus || status > maxStatus {
		return invalid("status code", line)
	}
	c.status = int(status)
	return checkText("reason", reason)
}

// Status codes outside of these have no class.
const (
	minStatus = 100
	maxStatus = 599
)

func checkText(what string, text []byte) error {
	if !httpguts.ValidHeaderFieldValue(string(text)) {
		return invalid(what, text)
	}
	return nil
}

// invalid returns an error that quotes the start of the text.
func invalid(what string, text []byte) error {
	return errors.Errorf("invalid %s in the head of a response: %.64q", what, text)
}
