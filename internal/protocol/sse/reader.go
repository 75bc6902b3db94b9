// Package sse splits streams of server-sent events into events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
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
	buffer    *bytebudget.Buffer
	idleBytes int // since the last event with a field
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return NewBufferedReader(r, new(bytebudget.Buffer)) }

// NewBufferedReader returns a reader of the events in r that holds each event in the buffer. The caller
// resets the buffer after the last event.
func NewBufferedReader(r io.Reader, buffer *bytebudget.Buffer) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, 4<<10), buffer: buffer}
}

// Next returns the bytes of the next event, including the blank line that ends it. They are
// valid until the next call. When the stream ends within an event, Next returns
// io.ErrUnexpectedEOF with the bytes read so far, which are not a complete event.
func (r *Reader) Next() ([]byte, error) {
	r.buffer.Reset()
	_, err := r.readEvent()
	return r.result(err)
}

// NextWithField returns the next event that has a field, with the blank lines and comments before it.
// When the stream ends before one, it returns io.EOF with the blank lines and comments.
func (r *Reader) NextWithField() ([]byte, error) {
	r.buffer.Reset()
	for {
		hasField, err := r.readEvent()
		if hasField || err != nil {
			return r.result(err)
		}
	}
}

// result returns the contents of the buffer, which are complete, unless err is another error than the end of
// the stream.
func (r *Reader) result(err error) ([]byte, error) {
	if settleErr := r.buffer.Settle(); settleErr != nil {
		err = settleErr // the connection was closed for it
	}
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return nil, err
	}
	return r.buffer.Bytes(), err
}

// readEvent appends the next event to the buffer.
func (r *Reader) readEvent() (hasField bool, err error) {
	start := len(r.buffer.Bytes())
	lineStart := start
	for {
		chunk, err := r.input.ReadSlice('\n')
		if appendErr := r.buffer.Append(chunk); appendErr != nil {
			return hasField, appendErr
		}
		text := r.buffer.Bytes()
		if len(text)-start > MaxEventBytes {
			return hasField, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(text) > start {
			return hasField, io.ErrUnexpectedEOF
		}
		if err != nil {
			return hasField, err
		}
		if isBlank(text[lineStart:]) {
			return hasField, r.countIdle(hasField, len(text)-start)
		}
		hasField = hasField || text[lineStart] != ':'
		lineStart = len(text)
	}
}

// countIdle counts the bytes of events without a field.
func (r *Reader) countIdle(hasField bool, size int) error {
	if hasField {
		r.idleBytes = 0
		return nil
	}
	if r.idleBytes += size; r.idleBytes > MaxIdleBytes {
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
