package capacity

import (
	"context"
	"runtime"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
)

// measureConfig measures the size and the processing cost of configurations over the
// number of upstreams and of teams. Configurations above the platform's size limit are
// encoded without validation, so that the series shows where the limit is reached.
func measureConfig(_ context.Context, r *Recorder) error {
	var bytes, parse, allocated, held, split, section []Point
	for _, n := range []int{10, 100, 600, 3000, 10_000} {
		d := deploymentSize{upstreams: n, teams: 10, models: min(n, targetModels), domains: 3}.deployment()
		text, err := yaml.Marshal(d)
		if err != nil {
			return errors.Wrap(err, "encode configuration")
		}
		size := float64(n)
		bytes = append(bytes, Point{size, float64(len(text))})
		split = append(split, Point{size, float64(medianCallCPUTime(func() { configsync.Split(text) }))})
		section = append(section, Point{size, largestSectionBytes(text)})
		if len(text) > config.MaxBytes {
			continue // config.Parse rejects it before decoding
		}
		ns, alloc, live, err := parseCost(text)
		if err != nil {
			return err
		}
		parse, allocated, held = append(parse, Point{size, ns}), append(allocated, Point{size, alloc}), append(held, Point{size, live})
	}
	r.record("config.bytes", "upstreams, 10 teams", "B", bytes)
	r.record("config.parse", "upstreams, 10 teams", "ns", parse)
	r.record("config.allocated", "upstreams, 10 teams", "B", allocated)
	r.record("config.held", "upstreams, 10 teams", "B", held)
	r.record("config.split", "upstreams, 10 teams", "ns", split)
	r.record("config.section", "upstreams, 10 teams", "B", section)
	return measureConfigOverTeams(r)
}

func measureConfigOverTeams(r *Recorder) error {
	var bytes, parse, allocated, held []Point
	for _, n := range []int{10, 600, 2400} {
		text, err := deploymentSize{upstreams: 10, teams: n, models: 10, domains: 3}.deployment().YAML()
		if err != nil {
			return err
		}
		ns, alloc, live, err := parseCost(text)
		if err != nil {
			return err
		}
		size := float64(n)
		bytes, parse = append(bytes, Point{size, float64(len(text))}), append(parse, Point{size, ns})
		allocated, held = append(allocated, Point{size, alloc}), append(held, Point{size, live})
	}
	r.record("config.bytes_teams", "teams, 10 upstreams", "B", bytes)
	r.record("config.parse_teams", "teams, 10 upstreams", "ns", parse)
	r.record("config.allocated_teams", "teams, 10 upstreams", "B", allocated)
	r.record("config.held_teams", "teams, 10 upstreams", "B", held)
	return nil
}

// medianCallCPUTime returns the median CPU time of a single call in ns. It is meant for
// calls that take long enough to be timed individually.
func medianCallCPUTime(fn func()) int64 {
	var times []float64
	for range repetitions {
		before := cpuTime()
		fn()
		times = append(times, float64(cpuTime()-before))
	}
	return int64(median(times))
}

// parseCost returns the CPU time of parsing and validating a configuration once, the bytes
// allocated meanwhile and the bytes that the result keeps live.
func parseCost(text []byte) (ns, allocated, held float64, err error) {
	before, live := totalAllocatedBytes(), liveBytes()
	d, err := config.Parse(text)
	if err != nil {
		return 0, 0, 0, err
	}
	allocated, held = totalAllocatedBytes()-before, liveBytes()-live
	runtime.KeepAlive(d)
	ns = float64(medianCallCPUTime(func() { _, err = config.Parse(text) }))
	return ns, allocated, max(held, 0), err
}

// largestSectionBytes returns the size of the largest section other than the metadata. An
// instance fetches one section after a change of one model.
func largestSectionBytes(text []byte) float64 {
	largest := 0
	for _, s := range configsync.Split(text) {
		if s.Name != configsync.MetaSection {
			largest = max(largest, len(s.Data))
		}
	}
	return float64(largest)
}
