package chat

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/protocol/sse"
)

// Guards against forwarding a body that is not a chat request to an engine.
func TestParseRequestRefusesOtherBodies(t *testing.T) {
	for _, body := range []string{``, `[]`, `{"messages":[]}`, `{"model":"m"}`, `{"model":"m","messages":"x"}`, `{"model":1,"messages":[]}`, `{"model":"m","messages":[]`} {
		if _, err := ParseRequest([]byte(body)); err == nil {
			t.Errorf("body %q was accepted", body)
		}
	}
}

// Guards against events that are forwarded modified or incomplete.
func TestEventsKeepTheirBytes(t *testing.T) {
	in := ": ping\n\ndata: {\"id\":\"a\",\"x\":1}\n\ndata: [DONE]\r\n\r\ndata: {\"id\":"
	r := NewEventReader(oneByteReader{strings.NewReader(in)})
	want := []Event{
		{Comment, []byte(": ping\n\n"), ""},
		{Data, []byte("data: {\"id\":\"a\",\"x\":1}\n\n"), "a"},
		{Done, []byte("data: [DONE]\r\n\r\n"), ""},
	}
	for i, w := range want {
		got, err := r.Next()
		if err != nil || got.Kind != w.Kind || got.ID != w.ID || string(got.Raw) != string(w.Raw) {
			t.Fatalf("event %d: got %+v, %v, want %+v", i, got, err, w)
		}
	}
	if _, err := r.Next(); err != io.ErrUnexpectedEOF {
		t.Errorf("partial event: got %v, want unexpected EOF", err)
	}
}

// Guards against ending an event early at a line one byte longer than the read buffer.
func TestLineLongerThanTheReadBuffer(t *testing.T) {
	for size := 4090; size < 4100; size++ {
		in := "data: {\"id\":\"a\",\"x\":\"" + strings.Repeat("y", size) + "\"}\n\n"
		e, err := NewEventReader(strings.NewReader(in)).Next()
		if err != nil || len(e.Raw) != len(in) {
			t.Fatalf("size %d: got %d bytes of %d, %v", size, len(e.Raw), len(in), err)
		}
	}
}

// Guards against an endless event that allocates memory without bound.
func TestEventSizeIsBounded(t *testing.T) {
	r := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*sse.MaxEventBytes)))
	if _, err := r.Next(); err != sse.ErrTooLarge {
		t.Errorf("got %v, want sse.ErrTooLarge", err)
	}
}

type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) { return o.r.Read(p[:1]) }

// FuzzEvents guards against inputs that make the reader panic or return more bytes than it read.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"id\":\"a\"}\n\ndata: [DONE]\n\n")
	f.Add("\n\n:x\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewEventReader(strings.NewReader(in))
		total := 0
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			total += len(e.Raw)
		}
		if total > len(in) {
			t.Errorf("returned %d bytes of %d", total, len(in))
		}
	})
}

// Guards against an id that parseLeadingID and the JSON decoder read differently, also in
// chunks that are malformed, contain the id twice or spell its key another way: a difference
// would let the response to another caller's request through.
func TestIDIsThatOfTheDecoder(t *testing.T) {
	fragment := rapid.SampledFrom([]string{`"id"`, `"ID"`, `"\u0069d"`, `:`, `,`, `{`, `}`, `"a"`, `"b\""`, `"ü"`, `1`, `[`, `]`, " ", "\\", `"`})
	rapid.Check(t, func(r *rapid.T) {
		data := rapid.SampledFrom([]string{`{"id":"a"`, `{"id":"`, `{ "id":"a"`, ``}).Draw(r, "start") +
			strings.Join(rapid.SliceOfN(fragment, 0, 12).Draw(r, "parts"), "") + rapid.SampledFrom([]string{``, `}`}).Draw(r, "end")
		var want chunk
		wantErr := json.Unmarshal([]byte(data), &want)
		id, ok := parseLeadingID([]byte(data))
		if ok && (wantErr != nil || string(id) != want.ID) {
			r.Fatalf("%q: got %q, the decoder finds %q, %v", data, id, want.ID, wantErr)
		}
	})
}

// BenchmarkNext measures reading one event of a stream.
func BenchmarkNext(b *testing.B) {
	event := "data: {\"id\":\"0123456789abcdef0123456789abcdef\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n"
	in := strings.NewReader(strings.Repeat(event, 1000))
	r := NewEventReader(in)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Next(); err == io.EOF {
			in.Seek(0, io.SeekStart)
		} else if err != nil {
			b.Fatal(err)
		}
	}
}
