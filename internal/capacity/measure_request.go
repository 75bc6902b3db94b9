package capacity

import (
	"context"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

const (
	// measuredEngines is the number of engines behind a measured instance: the size of
	// the balancer's subset.
	measuredEngines = 20
	// closedLoop is the number of callers at a time; it is below the initial limit of
	// all engines together, so that no request waits in the queue.
	closedLoop = 64
	// closedTokens is the number of tokens for each caller in one run.
	closedTokens = 1280
	// closedRequests is the largest number of requests of each caller in one run.
	closedRequests = 200
)

// withInstance runs fn against an instance with engines in the second process.
func (r *Recorder) withInstance(ctx context.Context, decode time.Duration, s shape, policy settings.Policy, fn func(*standIn, *runningInstance) error) error {
	second, err := r.startStandIn(ctx)
	if err != nil {
		return err
	}
	defer second.close()
	answer, err := second.do(command{Op: opEngines, Engines: s.upstreams, Decode: decode})
	if err != nil {
		return err
	}
	second.engines = answer.Addresses
	s.addresses = answer.Addresses
	in, err := startInstance(s, policy)
	if err != nil {
		return err
	}
	if err := fn(second, in); err != nil {
		return err
	}
	return in.close()
}

// measureRequest measures processor time and allocations over the tokens of an answer:
// the slope is the cost of a token, the intercept that of a request.
func measureRequest(ctx context.Context, r *Recorder) error {
	s := shape{upstreams: measuredEngines, teams: 100, models: 1}
	return r.withInstance(ctx, 5*time.Millisecond, s, settings.Standard, func(second *standIn, in *runningInstance) error {
		var cpu, allocs, bytes, standIn []Point
		l := load{Targets: []string{in.CallersAddress()}, Callers: closedLoop, Teams: 100}
		for _, tokens := range []int{1, 32, 128} {
			l.Tokens, l.Requests = tokens, min(closedRequests, closedTokens/tokens)
			var times, others []float64
			var count, size float64
			for range 3 {
				before, mallocs, total := processorTime(), mallocCount(), allocatedBytes()
				start, err := second.do(command{Op: opCounts})
				if err != nil {
					return err
				}
				answer, err := second.do(command{Op: opLoad, Load: l})
				if err != nil {
					return err
				}
				n := float64(answer.Result.Requests)
				if answer.Result.Failed > 0 {
					return errors.Errorf("%d requests failed: %s", answer.Result.Failed, answer.Result.Error)
				}
				times = append(times, float64((processorTime()-before).Nanoseconds())/n)
				others = append(others, (answer.CPU-start.CPU)*1e9/n)
				count, size = float64(mallocCount()-mallocs)/n, (allocatedBytes()-total)/n
			}
			x := float64(tokens)
			cpu, standIn = append(cpu, Point{x, median(times)}), append(standIn, Point{x, median(others)})
			allocs, bytes = append(allocs, Point{x, count}), append(bytes, Point{x, size})
		}
		r.put("request.cpu", "tokens of the answer", "ns", cpu)
		r.put("request.allocations", "tokens of the answer", "1", allocs)
		r.put("request.allocated", "tokens of the answer", "B", bytes)
		r.put("request.stand_in_cpu", "tokens of the answer", "ns", standIn)
		return nil
	})
}

// streamsOfEngine keeps below the 64 requests that the policy without adaptive limits
// sends to one engine.
const streamsOfEngine = 50

// measureStreams holds streams open. The policy without adaptive limits is used: the
// limits would need minutes to admit 5,000 streams, and what an open stream costs does
// not depend on them.
func measureStreams(ctx context.Context, r *Recorder) error {
	var memory, cpu, rate, goroutines []Point
	for _, n := range []int{10, 100, 1000, 5000} {
		interval, length := 50*time.Millisecond, 12*time.Second
		if n > 1000 {
			interval, length = 250*time.Millisecond, 25*time.Second
		}
		s := shape{upstreams: max(measuredEngines, n/streamsOfEngine), teams: 100, models: 1}
		err := r.withInstance(ctx, interval, s, settings.Baseline, func(second *standIn, in *runningInstance) error {
			idle, routines := heldBytes(), runtime.NumGoroutine()
			resting, err := processorShare(ctx, 2*time.Second)
			if err != nil {
				return err
			}
			l := load{Targets: []string{in.CallersAddress()}, Callers: n, Requests: 1, Tokens: int(length / interval), Teams: 100}
			if _, err := second.do(command{Op: opOpen, Load: l}); err != nil {
				return err
			}
			x := float64(n)
			memory = append(memory, Point{x, heldBytes() - idle})
			goroutines = append(goroutines, Point{x, float64(runtime.NumGoroutine() - routines)})
			first, err := second.do(command{Op: opCounts})
			if err != nil {
				return err
			}
			start := time.Now()
			share, err := processorShare(ctx, 4*time.Second)
			if err != nil {
				return err
			}
			last, err := second.do(command{Op: opCounts})
			if err != nil {
				return err
			}
			events := float64(last.Events-first.Events) / time.Since(start).Seconds()
			cpu = append(cpu, Point{x, (share - resting) * 1e9 / events})
			rate = append(rate, Point{x, events})
			end, err := second.do(command{Op: opWait})
			if err == nil && end.Result.Failed > 0 {
				err = errors.Errorf("%d streams failed: %s", end.Result.Failed, end.Result.Error)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	r.put("streams.memory", "open streams", "B", memory)
	r.put("streams.goroutines", "open streams", "1", goroutines)
	r.put("streams.cpu_per_event", "open streams", "ns", cpu)
	r.put("streams.events_per_second", "open streams", "1/s", rate)
	return nil
}

// latencyRequests is the number of requests of one latency run.
const latencyRequests = 1600

// measureLatency compares the time to the first token through an instance with that of
// direct calls to the engines, alternating between them.
func measureLatency(ctx context.Context, r *Recorder) error {
	s := shape{upstreams: measuredEngines, teams: 100, models: 1}
	return r.withInstance(ctx, time.Millisecond, s, settings.Standard, func(second *standIn, in *runningInstance) error {
		series := map[string][]Point{}
		for _, callers := range []int{1, 16, 64} {
			values := map[string][]float64{}
			for range repeats {
				for name, targets := range map[string][]string{"direct": second.engines, "router": {in.CallersAddress()}} {
					l := load{Targets: targets, Callers: callers, Requests: latencyRequests / callers, Tokens: 2, Teams: 100}
					answer, err := second.do(command{Op: opLoad, Load: l})
					if err != nil {
						return err
					}
					if answer.Result.Failed > 0 {
						return errors.Errorf("%d requests failed: %s", answer.Result.Failed, answer.Result.Error)
					}
					values[name+"_p50"] = append(values[name+"_p50"], float64(answer.Result.P50.Microseconds()))
					values[name+"_p99"] = append(values[name+"_p99"], float64(answer.Result.P99.Microseconds()))
				}
			}
			for name, list := range values {
				series[name] = append(series[name], Point{float64(callers), median(list)})
			}
		}
		for name, points := range series {
			r.put("latency."+name, "callers at a time", "µs", points)
		}
		return nil
	})
}
