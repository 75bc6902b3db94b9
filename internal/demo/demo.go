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

// Parameters of the demo. crashAt and stopAt are relative to the start of the load.
const (
	loadDuration  = 10 * time.Second
	burstDuration = 2 * time.Second
	crashAt       = 4 * time.Second
	crashDuration = 2 * time.Second
	stopAt        = 6 * time.Second
	// loadFactor keeps the steady load below the engines' capacity, so that only the burst
	// exceeds it.
	loadFactor  = 0.7
	burstFactor = 3
	orderShare  = 0.1
	maxResends  = 3
)

// Options configures the demo.
type Options struct {
	Deployment *config.Deployment
	Seed       uint64
	// Progress receives a status line that is rewritten every second, if set.
	Progress io.Writer
}

// ErrGuarantee reports that a guarantee was violated.
var ErrGuarantee = errors.New("a guarantee was violated")

// Run runs the demo. The error is ErrGuarantee if a response was wrong or an order ran
// twice, and the error of the planned stop if that failed.
func Run(ctx context.Context, o Options) (*experiment.Report, error) {
	f, err := fleet.Start(fleet.Options{Deployment: o.Deployment, Seed: o.Seed, WaitMembers: true})
	if err != nil {
		return nil, err
	}
	report, err := runLoad(ctx, f, o)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return report, err
}

func runLoad(ctx context.Context, f *fleet.Fleet, o Options) (*experiment.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := f.Scenario(fleet.Load{
		Factor: loadFactor, Duration: loadDuration, Seed: o.Seed, Burst: burstFactor, BurstLength: burstDuration,
		OrderShare: orderShare, Resends: maxResends,
	})
	if err != nil {
		return nil, err
	}
	s.CurrentEntryAddresses = f.BalancerTargets(ctx)
	progress := &progress{w: o.Progress, started: time.Now()}
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- injectFaults(ctx, f, progress) }()
	go progress.refresh(ctx)
	report := experiment.Run(ctx, s, f.Deployment)
	progress.update("stopping")
	if err := <-faultsDone; err != nil {
		return report, errors.Wrap(err, "planned stop")
	}
	progress.finish()
	if report.ViolationCount() > 0 {
		return report, ErrGuarantee
	}
	return report, nil
}

// injectFaults crashes an engine and shuts down an entry instance gracefully while
// requests are in progress.
func injectFaults(ctx context.Context, f *fleet.Fleet, p *progress) error {
	if !sleep(ctx, crashAt) {
		return ctx.Err()
	}
	p.update("an engine crashes")
	f.Engines[0].CrashFor(crashDuration)
	if !sleep(ctx, stopAt-crashAt) {
		return ctx.Err()
	}
	p.update("an entry instance is stopped")
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

// progress writes a status line and overwrites it on each update.
type progress struct {
	w       io.Writer
	started time.Time
}

func (p *progress) refresh(ctx context.Context) {
	for sleep(ctx, time.Second) {
		p.update("running")
	}
}

func (p *progress) update(text string) {
	if p.w != nil {
		fmt.Fprintf(p.w, "\r%3.0f s  %-40s", time.Since(p.started).Seconds(), text)
	}
}

func (p *progress) finish() {
	if p.w != nil {
		fmt.Fprintln(p.w)
	}
}
