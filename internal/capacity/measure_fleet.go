package capacity

import (
	"context"
	"io"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/fleet"
)

const (
	// fleetTeams makes the configuration large enough for its parsing time to be measurable.
	fleetTeams = 200
	// publishedChanges is the number of configuration changes published to a running region.
	publishedChanges = 4
	// publishInterval is the time between two changes.
	publishInterval = 2 * time.Second
)

// measureFleet runs complete regions in this process. It measures the calls to the
// platform, the CPU time and memory of an idle instance and the CPU time of one
// configuration change. The figures include the cost of the stand-ins.
func measureFleet(ctx context.Context, r *Recorder) error {
	var calls, cpu, memory, change []Point
	for _, n := range []int{8, 40, 160} {
		f, err := measureFleetOfSize(ctx, n)
		if err != nil {
			return err
		}
		size := float64(n)
		calls, cpu = append(calls, Point{size, f.platformCallsPerSecond}), append(cpu, Point{size, f.cpuMicrosPerSecond})
		memory, change = append(memory, Point{size, f.memoryBytes}), append(change, Point{size, f.changeCPUMicros})
	}
	r.record("fleet.platform_calls", "instances in 2 domains", "1/s", calls)
	r.record("fleet.cpu", "instances in 2 domains", "µs/s", cpu)
	r.record("fleet.memory", "instances in 2 domains", "B", memory)
	r.record("fleet.change_cpu", "instances in 2 domains", "µs", change)
	return nil
}

// fleetCost holds figures per instance, except for the calls to the platform, which are
// those of all instances.
type fleetCost struct{ platformCallsPerSecond, cpuMicrosPerSecond, memoryBytes, changeCPUMicros float64 }

func measureFleetOfSize(ctx context.Context, n int) (cost fleetCost, err error) {
	before := liveBytes()
	f, err := fleet.Start(fleet.Options{Deployment: deploymentSize{upstreams: 2, teams: fleetTeams, models: 1, domains: 2}.deployment(), Instances: n,
		Log: io.Discard, WaitMembers: true})
	if err != nil {
		return cost, err
	}
	defer f.Close()
	if err := sleep(ctx, 5*time.Second); err != nil {
		return cost, err
	}
	cost.memoryBytes = (liveBytes() - before) / float64(n)
	callsBefore, cpuBefore, start := platformCalls(f), cpuTime(), time.Now()
	if err := sleep(ctx, 2*idleObservation); err != nil {
		return cost, err
	}
	elapsed := time.Since(start).Seconds()
	cost.platformCallsPerSecond = (platformCalls(f) - callsBefore) / elapsed
	cost.cpuMicrosPerSecond = float64((cpuTime() - cpuBefore).Microseconds()) / elapsed / float64(n)
	cpuBefore, start = cpuTime(), time.Now()
	for range publishedChanges {
		f.Deployment.Teams[0].Weight = f.Deployment.Teams[0].Weight%9 + 1
		if err := f.Publish(); err != nil {
			return cost, err
		}
		if err := sleep(ctx, publishInterval); err != nil {
			return cost, err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return cost, err
	}
	elapsed = time.Since(start).Seconds()
	changeCPU := float64((cpuTime()-cpuBefore).Microseconds())/float64(n) - cost.cpuMicrosPerSecond*elapsed
	cost.changeCPUMicros = max(changeCPU, 0) / publishedChanges
	return cost, nil
}

func platformCalls(f *fleet.Fleet) float64 {
	c := f.Platform.Counters()
	return float64(c.Reads + c.Watches + c.Lists)
}
