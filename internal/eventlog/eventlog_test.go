package eventlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// Guards against a stalled reader of standard output blocking the process: writes must
// return, warnings must be kept longer than info lines, and dropped lines must be counted.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
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
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped")
	}
	go w.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxBufferBytes/2))
	if err != nil {
		t.Fatal(err)
	}
	for !bytes.Contains(text, []byte("log_lines_dropped")) {
		chunk := make([]byte, 4096)
		n, err := r.Read(chunk)
		if err != nil {
			t.Fatalf("no count of dropped lines: %v", err)
		}
		text = append(text, chunk[:n]...)
	}
	if !strings.Contains(string(text), "event=request_failed") {
		t.Error("the warning was dropped although info lines were kept")
	}
}

// Guards against log injection through field values that contain a line break.
func TestFieldValueCannotForgeLine(t *testing.T) {
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
