package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/experiment"
	"github.com/yuccabridge/yuccabridge/internal/fleet"
)

// Times of the demo, from the start of the load.
const (
	loadTime    = 10 * time.Second
	burstTime   = 2 * time.Second
	crashAt     = 4 * time.Second
	crashLength = 2 * time.Second
	stopAt      = 6 * time.Second
	// loadFactor leaves room for the burst to pass the engines' capacity.
	loadFactor  = 0.7
	burstFactor = 3
	orderShare  = 0.1
	resends     = 3
)

// Options configures the demo.
type Options struct {
	Deployment *config.Deployment
	Seed       uint64
	// Progress receives a line that is rewritten every second. Nil: none.
	Progress io.Writer
}

// ErrPromise reports that a promise was broken.
var ErrPromise = errors.New("a promise was broken")

// Run runs the demo. The error is ErrPromise when an answer was wrong, an order ran
// twice, or a planned stop failed.
func Run(ctx context.Context, o Options) (*experiment.Report, error) {
	f, err := fleet.Start(fleet.Options{Deployment: o.Deployment, Seed: o.Seed, WaitMembers: true})
	if err != nil {
		return nil, err
	}
	report, err := load(ctx, f, o)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return report, err
}

func load(ctx context.Context, f *fleet.Fleet, o Options) (*experiment.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := f.Scenario(fleet.Load{
		Factor: loadFactor, Duration: loadTime, Seed: o.Seed, Burst: burstFactor, BurstLength: burstTime,
		OrderShare: orderShare, Resends: resends,
	})
	if err != nil {
		return nil, err
	}
	s.Live = f.BalancerTargets(ctx)
	progress := &progress{w: o.Progress, started: time.Now()}
	stopped := make(chan error, 1)
	go func() { stopped <- faults(ctx, f, progress) }()
	go progress.run(ctx)
	report := experiment.Run(ctx, s, f.Deployment)
	progress.note("stopping")
	if err := <-stopped; err != nil {
		return report, errors.Wrap(err, "planned stop")
	}
	progress.end()
	if report.ViolationCount() > 0 {
		return report, ErrPromise
	}
	return report, nil
}

// faults crashes an engine and stops an entry instance while requests are in progress.
func faults(ctx context.Context, f *fleet.Fleet, p *progress) error {
	if !sleep(ctx, crashAt) {
		return ctx.Err()
	}
	p.note("an engine crashes")
	f.Engines[0].CrashFor(crashLength)
	if !sleep(ctx, stopAt-crashAt) {
		return ctx.Err()
	}
	p.note("an entry instance is stopped")
	return <-f.Stop(f.Members()[0])
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// progress writes one line that it rewrites.
type progress struct {
	w       io.Writer
	started time.Time
}

func (p *progress) run(ctx context.Context) {
	for sleep(ctx, time.Second) {
		p.note("running")
	}
}

func (p *progress) note(text string) {
	if p.w != nil {
		fmt.Fprintf(p.w, "\r%3.0f s  %-40s", time.Since(p.started).Seconds(), text)
	}
}

func (p *progress) end() {
	if p.w != nil {
		fmt.Fprintln(p.w)
	}
}
