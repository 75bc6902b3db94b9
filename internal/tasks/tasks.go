// Package tasks runs the background tasks of an instance and ends them within a bounded time.
package tasks

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// StopTimeout bounds how long a stopping instance waits for its tasks. It leaves time for the exit of the process
// within the grace period.
const StopTimeout = 100 * time.Millisecond

// Group runs tasks until it is stopped or one of them fails.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	running map[string]int // by name
	ended   chan struct{}  // closed and replaced when a task ends
	err     error          // of the first task that failed
}

// NewGroup returns a group without tasks.
func NewGroup() *Group {
	g := &Group{running: map[string]int{}, ended: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Context returns the context of the tasks. It ends when the group is stopped or a task fails.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs a task until it returns.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[name]++
	go func() { g.finish(name, task(g.ctx)) }()
}

func (g *Group) finish(name string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[name]--; g.running[name] == 0 {
		delete(g.running, name)
	}
	if err != nil && g.err == nil {
		g.err = err
		g.cancel()
	}
	close(g.ended)
	g.ended = make(chan struct{})
}

// Stop tells the tasks to end.
func (g *Group) Stop() { g.cancel() }

// Wait waits until all tasks have ended, at most for the timeout. It returns the names of the tasks that are still
// running, and the error of the first task that failed.
func (g *Group) Wait(timeout time.Duration) (running []string, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for expired := false; ; {
		g.mu.Lock()
		running, err = slices.Sorted(maps.Keys(g.running)), g.err
		ended := g.ended
		g.mu.Unlock()
		if len(running) == 0 || expired {
			return running, err
		}
		select {
		case <-ended:
		case <-timer.C:
			expired = true
		}
	}
}
