// Package sse splits streams of server-sent events into events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 256 << 10

// ErrTooLarge reports an event above [MaxEventBytes].
var ErrTooLarge = errors.New("server-sent event is too large")

// Reader splits a stream into events.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader reads events from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 4<<10)}
}

// Next returns the bytes of the next event with the blank line that ends it. They are
// valid until the next call. A stream that ends inside an event gives
// io.ErrUnexpectedEOF and the bytes of the part, which must not be taken for an event.
func (e *Reader) Next() ([]byte, error) {
	e.buf = e.buf[:0]
	lineStart := 0
	for {
		part, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		if len(e.buf) > MaxEventBytes {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(e.buf) > 0 {
			return e.buf, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if isBlank(e.buf[lineStart:]) {
			return e.buf, nil
		}
		lineStart = len(e.buf)
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

var idField = []byte("id:")

// ID returns the number in the event's "id" field; ok is false when there is none.
func ID(event []byte) (id int64, ok bool) {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, idField); found {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}
