package capacity

import (
	"context"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Measurement is a group of series that are measured together.
type Measurement struct {
	Name  string
	About string
	run   func(ctx context.Context, r *Recorder) error
}

// Measurements lists all measurements in the order of the page.
func Measurements() []Measurement {
	return []Measurement{
		{"decision", "scheduler, balancer, quarantine and orders ledger", measureDecision},
		{"config", "size, parsing and applying of configurations", measureConfig},
		{"request", "request path of one instance", measureRequest},
		{"streams", "open streams of one instance", measureStreams},
		{"latency", "latency added compared with direct calls", measureLatency},
		{"pools", "an idle instance by number of pools: ticks and load queries", measurePools},
		{"metrics", "the metrics endpoint by number of teams", measureMetrics},
		{"membership", "the failure detector", measureMembership},
		{"peers", "connections between instances", measurePeers},
		{"orders", "messages and bytes of an order", measureOrders},
		{"configsync", "messages and bytes of a configuration change", measureConfigsync},
		{"platform", "the list of upstreams and the load query", measurePlatform},
		{"fleet", "a region of entry instances with the platform", measureFleet},
	}
}

// Recorder runs measurements and collects their series.
type Recorder struct {
	Points         *Points
	Log            io.Writer
	command        string
	date           string
	standInCommand StandInCommand
}

// NewRecorder returns a recorder that adds to points. The date is stored with each series.
func NewRecorder(points *Points, log io.Writer, date string, standInCommand StandInCommand) *Recorder {
	return &Recorder{Points: points, Log: log, date: date, standInCommand: standInCommand}
}

// Run runs one measurement.
func (r *Recorder) Run(ctx context.Context, m Measurement) error {
	r.command = "yuccabridge capacity measure " + m.Name
	return errors.Wrap(m.run(ctx, r), m.Name)
}

// record stores a series and logs its points and fitted line.
func (r *Recorder) record(name, sizeLabel, unit string, points []Point) {
	r.Points.Put(Series{Name: name, Size: sizeLabel, Unit: unit, Command: r.command, Date: r.date, Points: points})
	log := logrus.New()
	log.SetOutput(r.Log)
	f := FitLine(points)
	log.WithFields(logrus.Fields{"series": name, "unit": unit, "points": points, "slope": f.Slope, "intercept": f.Intercept}).Info("measured")
}

// repetitions is how often a value is measured. The median is used because other load on
// the machine can only make a value worse.
const repetitions = 5

// minTimedRun is the minimum duration of a timed run of costPerCall.
const minTimedRun = 100 * time.Millisecond

// costPerCall returns the median CPU time of a call of fn in ns, and the number of heap
// allocations per call.
func costPerCall(fn func()) (ns, allocs float64) {
	n := 1
	for {
		start := time.Now()
		for range n {
			fn()
		}
		if elapsed := time.Since(start); elapsed >= minTimedRun || n >= 1<<30 {
			break
		}
		n *= 2
	}
	var times []float64
	for range repetitions {
		before, mallocs := cpuTime(), mallocCount()
		for range n {
			fn()
		}
		times = append(times, float64(cpuTime()-before)/float64(n))
		allocs = float64(mallocCount()-mallocs) / float64(n)
	}
	return median(times), allocs
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func mallocCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // getrusage fails only for invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveBytes returns the size of the live heap and the goroutine stacks after a garbage
// collection.
func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees objects released by finalizers of the first collection
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// totalAllocatedBytes returns the cumulative bytes allocated on the heap.
func totalAllocatedBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// measureCPUShare returns the CPU use of this process over the duration d, in cores.
func measureCPUShare(ctx context.Context, d time.Duration) (float64, error) {
	cpuBefore, start := cpuTime(), time.Now()
	if err := sleep(ctx, d); err != nil {
		return 0, err
	}
	return (cpuTime() - cpuBefore).Seconds() / time.Since(start).Seconds(), nil
}
