package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// repeated is an input without end.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

// Guards against bytes without end that are read, and passed on, as long as they come.
func TestInputWithoutEventsIsBounded(t *testing.T) {
	for name, text := range map[string]string{
		"blank lines":  "\n",
		"CRLF":         "\r\n",
		"comments":     ": keep-alive\n\n",
		"line":         "x",
		"fields":       "data: x\n",
		"comment line": ":",
	} {
		input := &repeated{text: text}
		reader := NewReader(input)
		var err error
		for err == nil && input.read < 4<<20 {
			_, err = reader.Next()
		}
		if err != ErrTooLarge {
			t.Errorf("%s: %v after %d bytes, want %v", name, err, input.read, ErrTooLarge)
		}
	}
}

// Guards against events that are changed, lost or joined, whatever the sizes of the reads.
func FuzzEventsAreSplitWithoutLoss(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: comment\n\n\r\nid: 2\r\ndata: b\r\n\r\ndata: open"), 3)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = 1 + max(0, size)%64
		reader := NewReader(&smallReads{bytes.NewReader(text), size})
		var joined []byte
		for {
			event, err := reader.Next()
			if err == ErrTooLarge {
				return
			}
			joined = append(joined, event...)
			if err == io.EOF || err == io.ErrUnexpectedEOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if last := strings.TrimRight(string(event), "\r\n"); last != "" && len(event)-len(last) < 2 {
				t.Fatalf("event %q does not end with a blank line", event)
			}
		}
		if !bytes.Equal(joined, text) {
			t.Fatalf("events %q of the input %q", joined, text)
		}
	})
}

// smallReads returns at most size bytes in each read.
type smallReads struct {
	input io.Reader
	size  int
}

func (r *smallReads) Read(p []byte) (int, error) { return r.input.Read(p[:min(len(p), r.size)]) }

// Guards against blank lines and comments that are lost, or passed on before an event follows them.
func FuzzEventsWithFieldsAreSplitWithoutLoss(f *testing.F) {
	f.Add([]byte(": comment\n\n\nid: 1\ndata: a\n\n\r\n: comment\n\ndata: b\r\n\r\n\n: tail\n"), 3)
	f.Add([]byte("\n\ndata: open"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = 1 + max(0, size)%64
		reader := NewReader(&smallReads{bytes.NewReader(text), size})
		var joined []byte
		for {
			event, err := reader.NextWithField()
			if err == ErrTooLarge {
				return
			}
			joined = append(joined, event...)
			if err == io.EOF || err == io.ErrUnexpectedEOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			if !HasField(event) {
				t.Fatalf("event %q has no field", event)
			}
		}
		if !bytes.Equal(joined, text) {
			t.Fatalf("events %q of the input %q", joined, text)
		}
	})
}
