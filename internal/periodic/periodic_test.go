package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stopping process that runs a slow function again because its next run is due, too.
func TestNoCallAfterTheEnd(t *testing.T) {
	const rounds = 50
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			calls := 0
			err := Run(ctx, time.Second, func() {
				calls++
				cancel()
				time.Sleep(2 * time.Second)
			})
			if err != nil || calls != 1 {
				t.Errorf("%d calls, want 1; %v", calls, err)
			}
		})
	}
}
