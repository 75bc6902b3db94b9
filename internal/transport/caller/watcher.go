package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// WatchInterval is the time between checks of the connections with requests in progress.
// Checking a connection costs one system call.
const WatchInterval = 250 * time.Millisecond

// Watcher detects callers that close their connection while their request is in progress.
// The HTTP server does not read from the connection during that time.
type Watcher struct {
	mu      sync.Mutex
	nextID  uint64
	watched map[uint64]watchedCaller
}

type watchedCaller struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewWatcher returns a watcher without connections.
func NewWatcher() *Watcher {
	return &Watcher{watched: map[uint64]watchedCaller{}}
}

// Watch returns a context that is cancelled when the caller has closed conn. The returned
// function cancels the context and ends the watch.
func (w *Watcher) Watch(conn net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	id := w.nextID
	w.watched[id] = watchedCaller{conn: conn, cancel: cancel}
	return ctx, func() {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, id)
	}
}

// InProgress returns the number of requests in progress.
func (w *Watcher) InProgress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.watched)
}

// Check cancels the requests whose callers have closed their connection.
func (w *Watcher) Check() {
	w.mu.Lock()
	callers := make([]watchedCaller, 0, len(w.watched))
	for _, c := range w.watched {
		callers = append(callers, c)
	}
	w.mu.Unlock()
	for _, c := range callers {
		if upstream.PeerClosed(c.conn) {
			c.cancel()
		}
	}
}
