package capacity

import (
	"context"
	"io"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/fleet"
)

const (
	// fleetTeams gives the configuration a size at which parsing it can be measured.
	fleetTeams = 200
	// fleetChanges is how many changes are published to a running region.
	fleetChanges = 4
	// fleetPause is the time between them.
	fleetPause = 2 * time.Second
)

// measureFleet runs whole regions with the platform stand-in in this process: calls at
// the platform, processor time and memory of an idle instance, and processor time of one
// change. The stand-ins' part is included.
func measureFleet(ctx context.Context, r *Recorder) error {
	var calls, cpu, memory, change []Point
	for _, n := range []int{8, 40, 160} {
		f, err := runFleet(ctx, n)
		if err != nil {
			return err
		}
		x := float64(n)
		calls, cpu = append(calls, Point{x, f.calls}), append(cpu, Point{x, f.cpu})
		memory, change = append(memory, Point{x, f.memory}), append(change, Point{x, f.change})
	}
	r.put("fleet.platform_calls", "instances in 2 domains", "1/s", calls)
	r.put("fleet.cpu", "instances in 2 domains", "µs/s", cpu)
	r.put("fleet.memory", "instances in 2 domains", "B", memory)
	r.put("fleet.change_cpu", "instances in 2 domains", "µs", change)
	return nil
}

// fleetFigures are those of one instance, except for the platform's calls a second.
type fleetFigures struct{ calls, cpu, memory, change float64 }

func runFleet(ctx context.Context, n int) (figures fleetFigures, err error) {
	before := heldBytes()
	f, err := fleet.Start(fleet.Options{Deployment: shape{upstreams: 2, teams: fleetTeams, models: 1, domains: 2}.deployment(), Instances: n,
		Log: io.Discard, WaitMembers: true})
	if err != nil {
		return figures, err
	}
	defer f.Close()
	if err := wait(ctx, 5*time.Second); err != nil {
		return figures, err
	}
	figures.memory = (heldBytes() - before) / float64(n)
	calls, used, start := platformCalls(f), processorTime(), time.Now()
	if err := wait(ctx, 2*idleTime); err != nil {
		return figures, err
	}
	took := time.Since(start).Seconds()
	figures.calls = (platformCalls(f) - calls) / took
	figures.cpu = float64((processorTime() - used).Microseconds()) / took / float64(n)
	used, start = processorTime(), time.Now()
	for range fleetChanges {
		f.Deployment.Teams[0].Weight = f.Deployment.Teams[0].Weight%9 + 1
		if err := f.Publish(); err != nil {
			return figures, err
		}
		if err := wait(ctx, fleetPause); err != nil {
			return figures, err
		}
	}
	if err := wait(ctx, 2*time.Second); err != nil {
		return figures, err
	}
	took = time.Since(start).Seconds()
	busy := float64((processorTime()-used).Microseconds())/float64(n) - figures.cpu*took
	figures.change = max(busy, 0) / fleetChanges
	return figures, nil
}

func platformCalls(f *fleet.Fleet) float64 {
	c := f.Platform.Counters()
	return float64(c.Reads + c.Watches + c.Lists)
}
