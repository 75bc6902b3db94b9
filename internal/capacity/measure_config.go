package capacity

import (
	"context"
	"runtime"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
)

// measureConfig measures texts over their upstreams and over their teams. Texts above
// the platform's limit are printed without validation, to show where the limit is.
func measureConfig(_ context.Context, r *Recorder) error {
	var bytes, parse, allocated, held, split, section []Point
	for _, n := range []int{10, 100, 600, 3000, 10_000} {
		d := shape{upstreams: n, teams: 10, models: min(n, targetModels), domains: 3}.deployment()
		text, err := yaml.Marshal(d)
		if err != nil {
			return errors.Wrap(err, "print configuration")
		}
		size := float64(n)
		bytes = append(bytes, Point{size, float64(len(text))})
		split = append(split, Point{size, float64(timeOnce(func() { configsync.Split(text) }))})
		section = append(section, Point{size, largestSection(text)})
		if len(text) > config.MaxBytes {
			continue // refused before it is decoded
		}
		ns, alloc, live, err := parseCost(text)
		if err != nil {
			return err
		}
		parse, allocated, held = append(parse, Point{size, ns}), append(allocated, Point{size, alloc}), append(held, Point{size, live})
	}
	r.put("config.bytes", "upstreams, 10 teams", "B", bytes)
	r.put("config.parse", "upstreams, 10 teams", "ns", parse)
	r.put("config.allocated", "upstreams, 10 teams", "B", allocated)
	r.put("config.held", "upstreams, 10 teams", "B", held)
	r.put("config.split", "upstreams, 10 teams", "ns", split)
	r.put("config.section", "upstreams, 10 teams", "B", section)
	return measureConfigTeams(r)
}

func measureConfigTeams(r *Recorder) error {
	var bytes, parse, allocated, held []Point
	for _, n := range []int{10, 600, 2400} {
		text, err := shape{upstreams: 10, teams: n, models: 10, domains: 3}.deployment().YAML()
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
	r.put("config.bytes_teams", "teams, 10 upstreams", "B", bytes)
	r.put("config.parse_teams", "teams, 10 upstreams", "ns", parse)
	r.put("config.allocated_teams", "teams, 10 upstreams", "B", allocated)
	r.put("config.held_teams", "teams, 10 upstreams", "B", held)
	return nil
}

// timeOnce returns the median processor time of single calls in ns, for calls that
// are long enough for that.
func timeOnce(fn func()) int64 {
	var times []float64
	for range repeats {
		before := processorTime()
		fn()
		times = append(times, float64(processorTime()-before))
	}
	return int64(median(times))
}

// parseCost returns the processor time, the allocated and the held bytes of parsing and
// validating a text once.
func parseCost(text []byte) (ns, allocated, held float64, err error) {
	before, live := allocatedBytes(), heldBytes()
	d, err := config.Parse(text)
	if err != nil {
		return 0, 0, 0, err
	}
	allocated, held = allocatedBytes()-before, heldBytes()-live
	runtime.KeepAlive(d)
	ns = float64(timeOnce(func() { _, err = config.Parse(text) }))
	return ns, allocated, max(held, 0), err
}

// largestSection is what an instance fetches after a change of one model.
func largestSection(text []byte) float64 {
	largest := 0
	for _, s := range configsync.Split(text) {
		if s.Name != configsync.MetaSection {
			largest = max(largest, len(s.Data))
		}
	}
	return float64(largest)
}
