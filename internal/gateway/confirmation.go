package gateway

import (
	"context"
	"sync"
)

// confirmTimeout bounds the wait of a request for a confirmation: the call in progress has to end first. The platform
// answers within milliseconds, or within some hundred milliseconds when it is slow.
const confirmTimeout = 2 * WatchTimeoutMargin

// confirmations shares calls between those that need one which begins after they asked. At most one call is in
// progress. It is safe for concurrent use.
type confirmations struct {
	mu      sync.Mutex
	running bool
	next    *confirmation // begins when the call in progress has ended
}

type confirmation struct {
	done chan struct{} // closed when err is set
	err  error
}

// await returns the result of a call that begins after await does.
func (c *confirmations) await(ctx context.Context, call func() error) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	awaited := c.next
	if !c.running {
		c.running = true
		go c.run(call)
	}
	c.mu.Unlock()
	select {
	case <-awaited.done:
		return awaited.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes calls until nobody has asked for another one.
func (c *confirmations) run(call func() error) {
	for current := c.begin(); current != nil; current = c.begin() {
		current.err = call()
		close(current.done)
	}
}

// begin returns the confirmation whose call begins now, nil if there is none.
func (c *confirmations) begin() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.next
	c.next, c.running = nil, current != nil
	return current
}

// confirm brings the copy up to date with all that was published before confirm was called. The age of the copy
// cannot show this: it is an upper bound only while this process runs and somebody answers it.
func (w *platformWatcher) confirm() error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return w.confirmations.await(ctx, w.readChanges)
}

// readChanges asks the platform itself for the changes up to now and applies them. The call has a time limit of its
// own: if its context ended, the watch would be broken off, too.
func (w *platformWatcher) readChanges() error {
	after, _ := w.replica.Position()
	w.gateway.metrics.platformReads.WithLabelValues("confirmation").Inc()
	changes, position, err := w.gateway.adapter.Store.Watch(context.Background(), w.prefix, after, 0)
	if err != nil {
		return err
	}
	// Without changes, too: those up to the position may still be being applied.
	w.applyChanges(changes, position, "platform")
	return nil
}
