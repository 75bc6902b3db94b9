// Package periodic calls functions at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls fn at the interval until ctx is done.
func Run(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if ctx.Err() != nil {
				return nil // both were ready
			}
			fn()
		}
	}
}
