package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// Guards against a confirmation by a call that began before it was asked for, and against one call for each
// request when many streams break at once.
func TestConfirmationsShareCallsThatBeginLater(t *testing.T) {
	const requests = 100
	synctest.Test(t, func(t *testing.T) {
		var c confirmations
		var calls atomic.Int64
		call := func() error {
			if calls.Add(1) == 1 {
				time.Sleep(time.Second)
				return errors.New("the first call fails")
			}
			return nil
		}
		go c.await(context.Background(), call)
		synctest.Wait() // the first call is in progress
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				if err := c.await(context.Background(), call); err != nil {
					t.Error("confirmed by a call that began before: ", err)
				}
			})
		}
		group.Wait()
		if got := calls.Load(); got != 2 {
			t.Errorf("%d calls, want 2", got)
		}
	})
}

// Guards against a request that is held because the platform does not answer.
func TestConfirmationIsAwaitedForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c confirmations
		answered := make(chan struct{})
		defer close(answered)
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		if err := c.await(ctx, func() error { <-answered; return nil }); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
	})
}
