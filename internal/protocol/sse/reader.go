// Package sse splits streams of server-sent events into events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes is the largest accepted event.
const MaxEventBytes = 256 << 10

// MaxIdleBytes is the largest accepted number of bytes between two events with a field: blank lines
// and comments, which keep a connection open.
const MaxIdleBytes = 64 << 10

// ErrTooLarge reports an event larger than [MaxEventBytes], or more than [MaxIdleBytes] between two
// events.
var ErrTooLarge = errors.New("server-sent event is too large")

// Reader splits a stream into events.
type Reader struct {
	input     *bufio.Reader
	event     []byte
	idleBytes int // since the last event with a field
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, 4<<10)}
}

// Next returns the bytes of the next event, including the blank line that ends it. They are
// valid until the next call. When the stream ends within an event, Next returns
// io.ErrUnexpectedEOF with the bytes read so far, which are not a complete event.
func (r *Reader) Next() ([]byte, error) {
	r.event = r.event[:0]
	lineStart, hasField := 0, false
	for {
		chunk, err := r.input.ReadSlice('\n')
		r.event = append(r.event, chunk...)
		if len(r.event) > MaxEventBytes {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(r.event) > 0 {
			return r.event, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if isBlank(r.event[lineStart:]) {
			return r.event, r.countIdle(hasField)
		}
		hasField = hasField || r.event[lineStart] != ':'
		lineStart = len(r.event)
	}
}

// countIdle counts the bytes of events without a field.
func (r *Reader) countIdle(hasField bool) error {
	if hasField {
		r.idleBytes = 0
		return nil
	}
	if r.idleBytes += len(r.event); r.idleBytes > MaxIdleBytes {
		return ErrTooLarge
	}
	return nil
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

var idField = []byte("id:")

// ID returns the number in the "id" field of the event; ok is false when there is none.
func ID(event []byte) (id int64, ok bool) {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, idField); found {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// IsComment reports whether text consists of whole lines that are blank or comments.
func IsComment(text []byte) bool { return bytes.HasSuffix(text, []byte("\n")) && !HasField(text) }

// HasField reports whether the event has a field, as opposed to blank lines and comments alone.
func HasField(event []byte) bool {
	for line := range bytes.Lines(event) {
		if !isBlank(line) && line[0] != ':' {
			return true
		}
	}
	return false
}
