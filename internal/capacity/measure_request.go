package capacity

import (
	"context"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

const (
	// measuredEngines is the number of engines behind a measured instance. It equals the
	// size of the balancer's subset.
	measuredEngines = 20
	// concurrentCallers is the number of concurrent callers. It is below the sum of the
	// engines' initial concurrency limits, so that no request is queued.
	concurrentCallers = 64
	// maxTokensPerCaller limits the tokens that each caller requests in one run.
	maxTokensPerCaller = 1280
	// maxRequestsPerCaller limits the requests of each caller in one run.
	maxRequestsPerCaller = 200
)

// withInstance runs fn with an entry instance whose engines run in the child process.
func (r *Recorder) withInstance(ctx context.Context, decodeInterval time.Duration, s deploymentSize, policy settings.Policy, fn func(*standInProcess, *runningInstance) error) error {
	process, err := r.startStandIn(ctx)
	if err != nil {
		return err
	}
	defer process.close()
	started, err := process.do(command{Op: opEngines, Engines: s.upstreams, Decode: decodeInterval})
	if err != nil {
		return err
	}
	process.engineAddresses = started.Addresses
	s.addresses = started.Addresses
	instance, err := startInstance(s, policy)
	if err != nil {
		return err
	}
	if err := fn(process, instance); err != nil {
		return err
	}
	return instance.close()
}

// measureRequest measures CPU time and allocations over the number of tokens in a response:
// the slope is the cost of a token, the intercept that of a request.
func measureRequest(ctx context.Context, r *Recorder) error {
	s := deploymentSize{upstreams: measuredEngines, teams: 100, models: 1}
	return r.withInstance(ctx, 5*time.Millisecond, s, settings.Standard, func(process *standInProcess, instance *runningInstance) error {
		var cpu, allocs, bytes, standInCPU []Point
		l := loadSpec{Targets: []string{instance.CallersAddress()}, Callers: concurrentCallers, Teams: 100}
		for _, tokens := range []int{1, 32, 128} {
			l.TokensPerResponse, l.RequestsPerCaller = tokens, min(maxRequestsPerCaller, maxTokensPerCaller/tokens)
			var cpuTimes, standInTimes []float64
			var count, size float64
			for range 3 {
				before, mallocs, total := cpuTime(), mallocCount(), totalAllocatedBytes()
				start, err := process.do(command{Op: opCounts})
				if err != nil {
					return err
				}
				loaded, err := process.do(command{Op: opLoad, Load: l})
				if err != nil {
					return err
				}
				n := float64(loaded.Result.Requests)
				if loaded.Result.Failed > 0 {
					return errors.Errorf("%d requests failed: %s", loaded.Result.Failed, loaded.Result.Error)
				}
				cpuTimes = append(cpuTimes, float64((cpuTime()-before).Nanoseconds())/n)
				standInTimes = append(standInTimes, (loaded.CPU-start.CPU)*1e9/n)
				count, size = float64(mallocCount()-mallocs)/n, (totalAllocatedBytes()-total)/n
			}
			responseTokens := float64(tokens)
			cpu, standInCPU = append(cpu, Point{responseTokens, median(cpuTimes)}), append(standInCPU, Point{responseTokens, median(standInTimes)})
			allocs, bytes = append(allocs, Point{responseTokens, count}), append(bytes, Point{responseTokens, size})
		}
		r.record("request.cpu", "tokens of the answer", "ns", cpu)
		r.record("request.allocations", "tokens of the answer", "1", allocs)
		r.record("request.allocated", "tokens of the answer", "B", bytes)
		r.record("request.stand_in_cpu", "tokens of the answer", "ns", standInCPU)
		return nil
	})
}

// streamsPerEngine stays below the 64 concurrent requests that the policy without adaptive
// limits sends to one engine.
const streamsPerEngine = 50

// measureStreams measures the cost of open streams. It uses the policy without adaptive
// limits: the limits would take minutes to admit 5,000 streams, and the cost of an open
// stream does not depend on them.
func measureStreams(ctx context.Context, r *Recorder) error {
	var memory, cpu, rate, goroutines []Point
	for _, n := range []int{10, 100, 1000, 5000} {
		interval, length := 50*time.Millisecond, 12*time.Second
		if n > 1000 {
			interval, length = 250*time.Millisecond, 25*time.Second
		}
		s := deploymentSize{upstreams: max(measuredEngines, n/streamsPerEngine), teams: 100, models: 1}
		err := r.withInstance(ctx, interval, s, settings.Baseline, func(process *standInProcess, instance *runningInstance) error {
			bytesBefore, goroutinesBefore := liveBytes(), runtime.NumGoroutine()
			idleShare, err := measureCPUShare(ctx, 2*time.Second)
			if err != nil {
				return err
			}
			l := loadSpec{Targets: []string{instance.CallersAddress()}, Callers: n, RequestsPerCaller: 1, TokensPerResponse: int(length / interval), Teams: 100}
			if _, err := process.do(command{Op: opOpen, Load: l}); err != nil {
				return err
			}
			streams := float64(n)
			memory = append(memory, Point{streams, liveBytes() - bytesBefore})
			goroutines = append(goroutines, Point{streams, float64(runtime.NumGoroutine() - goroutinesBefore)})
			first, err := process.do(command{Op: opCounts})
			if err != nil {
				return err
			}
			start := time.Now()
			share, err := measureCPUShare(ctx, 4*time.Second)
			if err != nil {
				return err
			}
			last, err := process.do(command{Op: opCounts})
			if err != nil {
				return err
			}
			events := float64(last.Events-first.Events) / time.Since(start).Seconds()
			cpu = append(cpu, Point{streams, (share - idleShare) * 1e9 / events})
			rate = append(rate, Point{streams, events})
			end, err := process.do(command{Op: opWait})
			if err == nil && end.Result.Failed > 0 {
				err = errors.Errorf("%d streams failed: %s", end.Result.Failed, end.Result.Error)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	r.record("streams.memory", "open streams", "B", memory)
	r.record("streams.goroutines", "open streams", "1", goroutines)
	r.record("streams.cpu_per_event", "open streams", "ns", cpu)
	r.record("streams.events_per_second", "open streams", "1/s", rate)
	return nil
}

// requestsPerLatencyRun is the total number of requests of all callers in one run.
const requestsPerLatencyRun = 1600

// measureLatency compares the time to the first token through an instance with that of
// direct calls to the engines. The two kinds of runs are interleaved.
func measureLatency(ctx context.Context, r *Recorder) error {
	s := deploymentSize{upstreams: measuredEngines, teams: 100, models: 1}
	return r.withInstance(ctx, time.Millisecond, s, settings.Standard, func(process *standInProcess, instance *runningInstance) error {
		series := map[string][]Point{}
		for _, callers := range []int{1, 16, 64} {
			values := map[string][]float64{}
			for range repetitions {
				for name, targets := range map[string][]string{"direct": process.engineAddresses, "router": {instance.CallersAddress()}} {
					l := loadSpec{Targets: targets, Callers: callers, RequestsPerCaller: requestsPerLatencyRun / callers, TokensPerResponse: 2, Teams: 100}
					loaded, err := process.do(command{Op: opLoad, Load: l})
					if err != nil {
						return err
					}
					if loaded.Result.Failed > 0 {
						return errors.Errorf("%d requests failed: %s", loaded.Result.Failed, loaded.Result.Error)
					}
					values[name+"_p50"] = append(values[name+"_p50"], float64(loaded.Result.FirstEventP50.Microseconds()))
					values[name+"_p99"] = append(values[name+"_p99"], float64(loaded.Result.FirstEventP99.Microseconds()))
				}
			}
			for name, list := range values {
				series[name] = append(series[name], Point{float64(callers), median(list)})
			}
		}
		for name, points := range series {
			r.record("latency."+name, "callers at a time", "µs", points)
		}
		return nil
	})
}
