package capacity

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// idleTime is how long an idle instance is observed.
const idleTime = 5 * time.Second

// measurePools measures an idle instance over its models, each with a whole subset of
// engines: the ticks of the pools and one load query a second for each engine.
func measurePools(ctx context.Context, r *Recorder) error {
	var cpu, memory []Point
	for _, models := range []int{1, 5, 10, targetModels} {
		s := shape{upstreams: measuredEngines * models, teams: 100, models: models}
		before := heldBytes()
		err := r.withInstance(ctx, time.Millisecond, s, settings.Standard, func(*standIn, *runningInstance) error {
			if err := wait(ctx, 3*time.Second); err != nil {
				return err
			}
			memory = append(memory, Point{float64(models), heldBytes() - before})
			share, err := processorShare(ctx, idleTime)
			cpu = append(cpu, Point{float64(models), share * 1e6})
			return err
		})
		if err != nil {
			return err
		}
	}
	r.put("pools.cpu", "models with 20 engines each", "µs/s", cpu)
	r.put("pools.memory", "models with 20 engines each", "B", memory)
	return nil
}

// measureMetrics reads the metrics endpoint after a request of each team.
func measureMetrics(ctx context.Context, r *Recorder) error {
	var size, cpu []Point
	for _, teams := range []int{10, 100, 600, 2400} {
		s := shape{upstreams: measuredEngines, teams: teams, models: 1}
		err := r.withInstance(ctx, time.Millisecond, s, settings.Standard, func(second *standIn, in *runningInstance) error {
			l := load{Targets: []string{in.CallersAddress()}, Callers: 10, Requests: 1, Tokens: 1}
			for first := 0; first < teams; first += l.Callers {
				l.Teams, l.FirstTeam = teams, first
				answer, err := second.do(command{Op: opLoad, Load: l})
				if err != nil {
					return err
				}
				if answer.Result.Failed > 0 {
					return errors.Errorf("%d requests failed: %s", answer.Result.Failed, answer.Result.Error)
				}
			}
			bytes := 0
			var err error
			ns := timeOnce(func() { bytes, err = readMetrics(ctx, in.OperationsAddress()) })
			size = append(size, Point{float64(teams), float64(bytes)})
			cpu = append(cpu, Point{float64(teams), float64(ns)})
			return err
		})
		if err != nil {
			return err
		}
	}
	r.put("metrics.bytes", "teams, one class", "B", size)
	r.put("metrics.cpu", "teams, one class", "ns", cpu)
	return nil
}

// readMetrics returns the size of one answer of the metrics endpoint.
func readMetrics(ctx context.Context, address string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return len(body), errors.Wrap(err, "read metrics")
}
