package capacity

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// idleObservation is how long the CPU use of an idle process is measured.
const idleObservation = 5 * time.Second

// measurePools measures an idle instance over the number of models, each with a full
// subset of engines. The work consists of pool ticks and one load query per second for
// each engine.
func measurePools(ctx context.Context, r *Recorder) error {
	var cpu, memory []Point
	for _, models := range []int{1, 5, 10, targetModels} {
		s := deploymentSize{upstreams: measuredEngines * models, teams: 100, models: models}
		before := liveBytes()
		err := r.withInstance(ctx, time.Millisecond, s, settings.Standard, func(*standInProcess, *runningInstance) error {
			if err := sleep(ctx, 3*time.Second); err != nil {
				return err
			}
			memory = append(memory, Point{float64(models), liveBytes() - before})
			share, err := measureCPUShare(ctx, idleObservation)
			cpu = append(cpu, Point{float64(models), share * 1e6})
			return err
		})
		if err != nil {
			return err
		}
	}
	r.record("pools.cpu", "models with 20 engines each", "µs/s", cpu)
	r.record("pools.memory", "models with 20 engines each", "B", memory)
	return nil
}

// measureMetrics measures the metrics endpoint after at least one request of each team.
func measureMetrics(ctx context.Context, r *Recorder) error {
	var size, cpu []Point
	for _, teams := range []int{10, 100, 600, 2400} {
		s := deploymentSize{upstreams: measuredEngines, teams: teams, models: 1}
		err := r.withInstance(ctx, time.Millisecond, s, settings.Standard, func(process *standInProcess, instance *runningInstance) error {
			l := loadSpec{Targets: []string{instance.CallersAddress()}, Callers: 10, RequestsPerCaller: 1, TokensPerResponse: 1}
			for first := 0; first < teams; first += l.Callers {
				l.Teams, l.FirstTeam = teams, first
				loaded, err := process.do(command{Op: opLoad, Load: l})
				if err != nil {
					return err
				}
				if loaded.Result.Failed > 0 {
					return errors.Errorf("%d requests failed: %s", loaded.Result.Failed, loaded.Result.Error)
				}
			}
			bytes := 0
			var err error
			ns := medianCallCPUTime(func() { bytes, err = metricsResponseSize(ctx, instance.OperationsAddress()) })
			size = append(size, Point{float64(teams), float64(bytes)})
			cpu = append(cpu, Point{float64(teams), float64(ns)})
			return err
		})
		if err != nil {
			return err
		}
	}
	r.record("metrics.bytes", "teams, one class", "B", size)
	r.record("metrics.cpu", "teams, one class", "ns", cpu)
	return nil
}

// metricsResponseSize returns the size in bytes of a response of the metrics endpoint.
func metricsResponseSize(ctx context.Context, address string) (int, error) {
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
