package eventlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// Guards against a reader of standard output that stops reading and thereby stops the
// process: writes must return, failures must outlive successes, and the loss is counted.
func TestReaderThatStopsDoesNotBlock(t *testing.T) {
	r, out := io.Pipe()
	w := NewWriter(out)
	log, err := New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	for range 20_000 {
		log.WithField("event", "request_ended").Info("request ended")
	}
	log.WithField("event", "request_failed").Warn("request failed")
	if w.Lost() == 0 {
		t.Fatal("no line was dropped")
	}
	go w.Close()
	text, err := io.ReadAll(io.LimitReader(r, bufferBytes/2))
	if err != nil {
		t.Fatal(err)
	}
	for !bytes.Contains(text, []byte("log_lines_dropped")) {
		more := make([]byte, 4096)
		n, err := r.Read(more)
		if err != nil {
			t.Fatalf("no count of dropped lines: %v", err)
		}
		text = append(text, more[:n]...)
	}
	if !strings.Contains(string(text), "event=request_failed") {
		t.Error("the failure was dropped before the successes")
	}
}

// Guards against lines that callers' text could forge.
func TestTextCannotForgeALine(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	log, err := New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.WithField("request", "x\nlevel=error event=forged").Info("request ended")
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d lines: %q", n, out.String())
	}
}
