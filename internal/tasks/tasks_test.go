package tasks

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const testTimeout = 10 * time.Second

func TestWaitEndsWithTheLastTask(t *testing.T) {
	g := NewGroup()
	for range 2 {
		g.Go("task", func(ctx context.Context) error { <-ctx.Done(); return nil })
	}
	g.Stop()
	if running, err := g.Wait(testTimeout); len(running) > 0 || err != nil {
		t.Errorf("%v, %v", running, err)
	}
}

// Guards against an end of the process that waits for a task as long as it takes.
func TestWaitNamesTasksThatAreStillRunning(t *testing.T) {
	g := NewGroup()
	release := make(chan struct{})
	defer close(release)
	g.Go("stuck", func(context.Context) error { <-release; return nil })
	g.Go("prompt", func(ctx context.Context) error { <-ctx.Done(); return nil })
	g.Stop()
	if running, err := g.Wait(time.Second); !slices.Equal(running, []string{"stuck"}) || err != nil {
		t.Errorf("%v, %v", running, err)
	}
}

// Guards against the error of a task that is lost because another one does not end.
func TestFailedTaskEndsTheOthers(t *testing.T) {
	g := NewGroup()
	release := make(chan struct{})
	defer close(release)
	failure := errors.New("failed")
	g.Go("stuck", func(context.Context) error { <-release; return nil })
	g.Go("other", func(ctx context.Context) error { <-ctx.Done(); return errors.New("ended by the failure") })
	g.Go("failing", func(context.Context) error { return failure })
	<-g.Context().Done()
	if _, err := g.Wait(StopTimeout); err != failure {
		t.Errorf("%v", err)
	}
}
