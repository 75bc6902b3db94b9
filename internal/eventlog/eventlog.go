// Package eventlog writes log lines asynchronously, so that logging never blocks a request.
// Lines go through a bounded buffer to a writer goroutine. Lines below the level "warning"
// are dropped when the buffer would become more than half full, the others only when it is
// full. The number of dropped lines is logged in a separate line.
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
	// maxBufferBytes limits the size of the lines queued for the writer.
	maxBufferBytes = 512 << 10
	// closeTimeout bounds how long Close waits when the reader of the output has stalled.
	closeTimeout = 200 * time.Millisecond
)

// Writer is a bounded, non-blocking line writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	changed *sync.Cond
	buf     bytes.Buffer
	dropped uint64
	closed  bool
	flushed chan struct{}
}

// NewWriter starts the goroutine that writes to out and returns its Writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, flushed: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// New returns a logger that writes key=value lines to w. The formatter quotes values, so
// that text from callers cannot inject log lines.
func New(w *Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log := logrus.New()
	log.SetLevel(parsed)
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log, nil
}

var warningLevels = [][]byte{[]byte("level=warning"), []byte("level=error"), []byte("level=fatal")}

// Write queues one line, or drops it if the buffer limit for its level is reached.
func (w *Writer) Write(line []byte) (int, error) {
	limit := maxBufferBytes / 2
	for _, level := range warningLevels {
		if bytes.Contains(line, level) {
			limit = maxBufferBytes
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.buf.Len()+len(line) > limit {
		w.dropped++
		return len(line), nil
	}
	w.buf.Write(line)
	w.changed.Signal()
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *Writer) run() {
	defer close(w.flushed)
	var batch []byte
	for {
		w.mu.Lock()
		for w.buf.Len() == 0 && !w.closed {
			w.changed.Wait()
		}
		batch = append(batch[:0], w.buf.Bytes()...)
		w.buf.Reset()
		if w.dropped > 0 {
			batch = fmt.Appendf(batch, "level=warning event=log_lines_dropped count=%d\n", w.dropped)
			w.dropped = 0
		}
		closed := w.closed
		w.mu.Unlock()
		if len(batch) > 0 {
			if _, err := w.out.Write(batch); err != nil {
				w.mu.Lock()
				w.dropped += uint64(bytes.Count(batch, []byte("\n")))
				w.mu.Unlock()
			}
		}
		if closed {
			return
		}
	}
}

// Close flushes the queued lines and stops the writer. If the reader of the output has
// stalled, Close gives up after closeTimeout.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.changed.Signal()
	w.mu.Unlock()
	select {
	case <-w.flushed:
		return nil
	case <-time.After(closeTimeout):
		return errors.New("timed out while flushing the log")
	}
}
