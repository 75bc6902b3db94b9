package chat

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/sse"
)

// Kind classifies an event.
type Kind int

const (
	// Data is an event with a JSON chunk of the answer.
	Data Kind = iota
	// Done is the final "[DONE]" event.
	Done
	// Comment is an event without data, used as a keep-alive.
	Comment
)

// Event is one server-sent event. Raw is valid until the next call of Next.
type Event struct {
	Kind Kind
	// Raw holds the event's bytes with the blank line that ends it.
	Raw []byte
	// ID is the "id" field of the JSON chunk of a Data event.
	ID string
}

// EventReader splits a stream into events.
type EventReader struct {
	r  *sse.Reader
	id string // of the last Data event; all events of an answer share it
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: sse.NewReader(r)}
}

var (
	dataField = []byte("data:")
	doneText  = []byte("[DONE]")
)

// Next returns the next event. A stream that ends inside an event gives
// io.ErrUnexpectedEOF, so that a partial event is never forwarded.
func (e *EventReader) Next() (Event, error) {
	raw, err := e.r.Next()
	if err != nil {
		return Event{}, err
	}
	return e.parseEvent(raw)
}

type chunk struct {
	ID string `json:"id"`
}

// parseEvent classifies the event in raw. An event that starts with a blank line
// of its own counts as a comment.
func (e *EventReader) parseEvent(raw []byte) (Event, error) {
	data := eventData(raw)
	switch {
	case len(data) == 0:
		return Event{Kind: Comment, Raw: raw}, nil
	case bytes.Equal(data, doneText):
		return Event{Kind: Done, Raw: raw}, nil
	}
	if id, ok := leadingID(data); ok {
		if string(id) != e.id {
			e.id = string(id)
		}
		return Event{Kind: Data, Raw: raw, ID: e.id}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrap(err, "decode event")
	}
	return Event{Kind: Data, Raw: raw, ID: c.ID}, nil
}

var (
	idStart = []byte(`{"id":"`)
	idName  = []byte(`"id"`)
)

// leadingID returns the id of a chunk that is valid JSON and starts with it, as engines
// write it. It allocates nothing; decoding each chunk took a sixth of the processor
// time of a relayed stream. Other spellings, and an id that may be there twice, are
// left to the decoder.
func leadingID(data []byte) ([]byte, bool) {
	rest, ok := bytes.CutPrefix(data, idStart)
	if !ok {
		return nil, false
	}
	end := bytes.IndexFunc(rest, func(r rune) bool { return r == '"' || r == '\\' || r < ' ' || r > '~' })
	if end < 0 || rest[end] != '"' || containsName(rest[end:]) || !json.Valid(data) {
		return nil, false
	}
	return rest[:end], true
}

// containsName reports whether the name "id" may follow, in any case that the decoder
// accepts or spelled with an escape.
func containsName(rest []byte) bool {
	return bytes.Contains(rest, idName) || bytes.Contains(rest, []byte(`"ID"`)) || bytes.Contains(rest, []byte(`"Id"`)) ||
		bytes.Contains(rest, []byte(`"iD"`)) || bytes.Contains(rest, []byte(`\u00`))
}

// eventData joins the data lines of an event.
func eventData(raw []byte) []byte {
	var data []byte
	for line := range bytes.Lines(raw) {
		rest, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		rest = bytes.TrimSpace(rest)
		if data == nil {
			data = rest
			continue
		}
		data = append(append(bytes.Clone(data), '\n'), rest...)
	}
	return data
}
