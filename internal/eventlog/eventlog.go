// Package eventlog writes log lines without ever making a request wait for them. Lines go
// through a bounded buffer to a writer of its own. When the buffer is more than half
// full, lines below the level "warning" are dropped first; what was dropped is counted in
// a line of its own.
package eventlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// bufferBytes bounds the lines that wait for the writer.
	bufferBytes = 512 << 10
	// closeWait bounds how long Close waits for a reader that has stopped reading.
	closeWait = 200 * time.Millisecond
)

// Writer is a bounded, non-blocking writer of lines. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	mu   sync.Mutex
	cond *sync.Cond
	buf  bytes.Buffer
	lost uint64
	end  bool
	done chan struct{}
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.cond = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// New returns a logger of key=value lines through w. The formatter quotes values, so text
// from callers cannot forge a line.
func New(w *Writer, level string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log := logrus.New()
	log.SetLevel(l)
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log, nil
}

var warningMark = [][]byte{[]byte("level=warning"), []byte("level=error"), []byte("level=fatal")}

// Write queues one line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	limit := bufferBytes / 2
	for _, mark := range warningMark {
		if bytes.Contains(line, mark) {
			limit = bufferBytes
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end || w.buf.Len()+len(line) > limit {
		w.lost++
		return len(line), nil
	}
	w.buf.Write(line)
	w.cond.Signal()
	return len(line), nil
}

// Lost returns the number of lines that were dropped and not yet reported.
func (w *Writer) Lost() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		w.mu.Lock()
		for w.buf.Len() == 0 && !w.end {
			w.cond.Wait()
		}
		batch = append(batch[:0], w.buf.Bytes()...)
		w.buf.Reset()
		if w.lost > 0 {
			batch = fmt.Appendf(batch, "level=warning event=log_lines_dropped count=%d\n", w.lost)
			w.lost = 0
		}
		end := w.end
		w.mu.Unlock()
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				w.mu.Lock()
				w.lost += uint64(bytes.Count(batch, []byte("\n")))
				w.mu.Unlock()
			}
		}
		if end {
			return
		}
	}
}

// Close writes what is queued and ends the writer. A reader that no longer reads is not
// waited for longer than a moment.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.end = true
	w.cond.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(closeWait):
		return errors.New("the reader of the log does not read")
	}
}
