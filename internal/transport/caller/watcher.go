package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// WatchInterval is how often the connections of callers with requests in progress
// are checked. One check is one system call.
const WatchInterval = 250 * time.Millisecond

// Watcher notices callers that close their connection while their request is
// in progress: the server does not read the connection in that time.
type Watcher struct {
	mu      sync.Mutex
	next    uint64
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

// Watch returns a context that ends when the caller is gone.
func (w *Watcher) Watch(conn net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	key := w.next
	w.watched[key] = watchedCaller{conn: conn, cancel: cancel}
	return ctx, func() {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, key)
	}
}

// InProgress is the number of requests in progress.
func (w *Watcher) InProgress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.watched)
}

// Check cancels the requests of callers that are gone.
func (w *Watcher) Check() {
	w.mu.Lock()
	list := make([]watchedCaller, 0, len(w.watched))
	for _, c := range w.watched {
		list = append(list, c)
	}
	w.mu.Unlock()
	for _, c := range list {
		if upstream.PeerClosed(c.conn) {
			c.cancel()
		}
	}
}
