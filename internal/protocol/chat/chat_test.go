package chat

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/protocol/sse"
)

// A body that is not a chat request must not reach an engine.
func TestParseRequestRefusesOtherBodies(t *testing.T) {
	for _, body := range []string{``, `[]`, `{"messages":[]}`, `{"model":"m"}`, `{"model":"m","messages":"x"}`, `{"model":1,"messages":[]}`, `{"model":"m","messages":[]`} {
		if _, err := ParseRequest([]byte(body)); err == nil {
			t.Errorf("body %q is accepted", body)
		}
	}
}

// Raw bytes must be forwarded unchanged and a partial event never.
func TestEventsKeepTheirBytes(t *testing.T) {
	in := ": ping\n\ndata: {\"id\":\"a\",\"x\":1}\n\ndata: [DONE]\r\n\r\ndata: {\"id\":"
	r := NewEventReader(iotestOneByte{strings.NewReader(in)})
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

// A line that is one byte longer than the read buffer must not end the event early.
func TestLineLongerThanTheReadBuffer(t *testing.T) {
	for size := 4090; size < 4100; size++ {
		in := "data: {\"id\":\"a\",\"x\":\"" + strings.Repeat("y", size) + "\"}\n\n"
		e, err := NewEventReader(strings.NewReader(in)).Next()
		if err != nil || len(e.Raw) != len(in) {
			t.Fatalf("size %d: got %d bytes of %d, %v", size, len(e.Raw), len(in), err)
		}
	}
}

// One endless event must not take memory without bound.
func TestEventSizeIsBounded(t *testing.T) {
	r := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*sse.MaxEventBytes)))
	if _, err := r.Next(); err != sse.ErrTooLarge {
		t.Errorf("got %v, want sse.ErrTooLarge", err)
	}
}

type iotestOneByte struct{ r io.Reader }

func (o iotestOneByte) Read(p []byte) (int, error) { return o.r.Read(p[:1]) }

// The splitter must survive any bytes and never return more than it read.
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

// The id that is read without decoding must be the one that the decoder finds, also in
// chunks that are broken, that hold the id twice or that spell it in another way: a
// difference would let another caller's answer through.
func TestIDIsThatOfTheDecoder(t *testing.T) {
	part := rapid.SampledFrom([]string{`"id"`, `"ID"`, `"\u0069d"`, `:`, `,`, `{`, `}`, `"a"`, `"b\""`, `"ü"`, `1`, `[`, `]`, " ", "\\", `"`})
	rapid.Check(t, func(r *rapid.T) {
		data := rapid.SampledFrom([]string{`{"id":"a"`, `{"id":"`, `{ "id":"a"`, ``}).Draw(r, "start") +
			strings.Join(rapid.SliceOfN(part, 0, 12).Draw(r, "parts"), "") + rapid.SampledFrom([]string{``, `}`}).Draw(r, "end")
		var want chunk
		wantErr := json.Unmarshal([]byte(data), &want)
		id, ok := leadingID([]byte(data))
		if ok && (wantErr != nil || string(id) != want.ID) {
			r.Fatalf("%q: got %q, the decoder finds %q, %v", data, id, want.ID, wantErr)
		}
	})
}

// BenchmarkNext measures one event of a stream.
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
