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

// Measurement is one group of series that is measured together.
type Measurement struct {
	Name  string
	About string
	run   func(ctx context.Context, r *Recorder) error
}

// Measurements lists everything that can be measured, in the order of the page.
func Measurements() []Measurement {
	return []Measurement{
		{"decision", "scheduler, balancer, quarantine and orders ledger", measureDecision},
		{"config", "size, parsing and applying of configurations", measureConfig},
		{"request", "request path of one instance", measureRequest},
		{"streams", "open streams of one instance", measureStreams},
		{"latency", "time added to a direct call", measureLatency},
		{"pools", "an idle instance over its pools: ticks and load queries", measurePools},
		{"metrics", "the metrics endpoint over teams", measureMetrics},
		{"membership", "the failure detector", measureMembership},
		{"peers", "connections between instances", measurePeers},
		{"orders", "messages and bytes of an order", measureOrders},
		{"configsync", "messages and bytes of a configuration change", measureConfigsync},
		{"platform", "the list of upstreams and the load query", measurePlatform},
		{"fleet", "a region of entry instances with the platform", measureFleet},
	}
}

// Recorder collects the series of a run.
type Recorder struct {
	Points  *Points
	Log     io.Writer
	command string
	date    string
	spawn   Spawner
}

// NewRecorder returns a recorder that adds to points. date is written beside each series.
func NewRecorder(points *Points, log io.Writer, date string, spawn Spawner) *Recorder {
	return &Recorder{Points: points, Log: log, date: date, spawn: spawn}
}

// Run runs one measurement.
func (r *Recorder) Run(ctx context.Context, m Measurement) error {
	r.command = "yuccabridge capacity measure " + m.Name
	return errors.Wrap(m.run(ctx, r), m.Name)
}

// put stores a series and logs its points.
func (r *Recorder) put(name, size, unit string, points []Point) {
	r.Points.Put(Series{Name: name, Size: size, Unit: unit, Command: r.command, Date: r.date, Points: points})
	log := logrus.New()
	log.SetOutput(r.Log)
	f := FitLine(points)
	log.WithFields(logrus.Fields{"series": name, "unit": unit, "points": points, "slope": f.Slope, "intercept": f.Intercept}).Info("measured")
}

// repeats is how often a value is measured; the median counts, because other work on
// the machine only ever makes a value worse.
const repeats = 5

// minTime is the shortest run that is timed.
const minTime = 100 * time.Millisecond

// perOp returns the median processor time of one call of fn in ns, and the heap
// allocations of one call.
func perOp(fn func()) (ns, allocs float64) {
	n := 1
	for {
		start := time.Now()
		for range n {
			fn()
		}
		if took := time.Since(start); took >= minTime || n >= 1<<30 {
			break
		}
		n *= 2
	}
	var times []float64
	for range repeats {
		before, mallocs := processorTime(), mallocCount()
		for range n {
			fn()
		}
		times = append(times, float64(processorTime()-before)/float64(n))
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

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call has no failure that can happen here
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heldBytes is the live heap with the goroutines' stacks, after a collection.
func heldBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second one frees what the first one's finalizers released
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// wait sleeps unless ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func allocatedBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// processorShare observes this process for a while and returns the cores that it used.
func processorShare(ctx context.Context, d time.Duration) (float64, error) {
	used, start := processorTime(), time.Now()
	if err := wait(ctx, d); err != nil {
		return 0, err
	}
	return (processorTime() - used).Seconds() / time.Since(start).Seconds(), nil
}
