package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
)

// confirmTimeout bounds the wait of a request for a confirmation: the call in progress has to end first. The platform
// answers within milliseconds, or within some hundred milliseconds when it is slow.
const confirmTimeout = 2 * WatchTimeoutMargin

// readerDelay is how long the platform has for an answer before a reader is asked, too.
const readerDelay = 100 * time.Millisecond

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

// readChanges reads the changes up to now from the platform, or from a reader if the platform does not answer this
// instance soon. Both calls begin after readChanges does.
func (w *platformWatcher) readChanges() error {
	ctx, cancel := context.WithTimeout(context.Background(), WatchTimeoutMargin)
	defer cancel()
	platform := make(chan error, 1)
	go func() { platform <- w.platformConfirmations.await(ctx, w.readPlatformChanges) }()
	select {
	case err := <-platform:
		if err == nil {
			return nil
		}
		return w.readReaderChanges(ctx)
	case <-time.After(readerDelay):
	}
	reader := make(chan error, 1)
	go func() { reader <- w.readReaderChanges(ctx) }()
	select {
	case err := <-platform:
		if err == nil {
			return nil
		}
		return <-reader
	case err := <-reader:
		if err == nil {
			return nil
		}
		return <-platform
	}
}

// readPlatformChanges asks the platform itself for the changes up to now and applies them. The call has a time limit
// of its own: several confirmations may wait for it.
func (w *platformWatcher) readPlatformChanges() error {
	after, _ := w.replica.Position()
	w.gateway.metrics.platformReads.WithLabelValues("confirmation").Inc()
	changes, position, err := w.gateway.adapter.Store.Watch(context.Background(), w.prefix, after, 0, nil)
	if err != nil {
		return err
	}
	// Without changes, too: those up to the position may still be being applied.
	w.applyChanges(changes, position, "platform")
	return nil
}

// readReaderChanges asks a reader to read the changes up to now from the platform, and applies them.
func (w *platformWatcher) readReaderChanges(ctx context.Context) error {
	reader := w.schedule.Source(w.gateway.now())
	if reader == nil {
		return errNoReader
	}
	after, _ := w.replica.Position()
	request := w.gateway.peers.newPullMessage(after)
	request.Follow = followMessage{Confirm: true}
	reply, err := w.gateway.peers.exchangePull(ctx, *reader, request)
	if err != nil {
		return err
	}
	if answer := reply.Follow; !answer.Served || answer.Behind || answer.Era != after.Era {
		return errNotConfirmed
	}
	w.applyFollowed(w.gateway.now(), reply.Follow, reader.Name)
	return nil
}

// confirmFollower reads the changes up to now for a follower. It asks the platform only, so that no two instances
// wait for each other.
func (w *platformWatcher) confirmFollower(ctx context.Context, after replica.Position) followAnswer {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := w.platformConfirmations.await(ctx, w.readPlatformChanges); err != nil {
		return followAnswer{}
	}
	return w.followAnswer(after)
}

var (
	errNoReader     = errors.New("no other instance reads the platform for this one")
	errNotConfirmed = errors.New("the reader does not have all changes, or its build does not confirm them")
)
