package configsync

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChange measures one change of one upstream in a domain of 40 instances:
// bytes on the wire for each instance, simulated time until the last instance has it,
// and processor time for each instance (the simulation itself is included).
func BenchmarkChange(b *testing.B) {
	for _, upstreams := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			const count = 40
			s := newSim(1)
			s.publish(1, configText(upstreams, 1), 1)
			for i := range count {
				s.add(i, "a")
			}
			s.members()
			s.run(10 * time.Second)
			bytes, spread := 0, time.Duration(0)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				rev := uint64(2 + i)
				before, published := s.bytes, s.now
				s.publish(rev, configText(upstreams, int(rev)), 1)
				for !s.allHave(rev) {
					s.run(time.Millisecond)
				}
				spread += s.now - published
				s.run(100 * time.Millisecond)
				bytes += s.bytes - before
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/count, "µs/instance/change")
			b.ReportMetric(float64(bytes)/float64(b.N)/count, "B/instance/change")
			b.ReportMetric(float64(spread.Milliseconds())/float64(b.N), "ms-to-last")
			b.ReportMetric(float64(len(configText(upstreams, 1))), "B/text")
		})
	}
}

// BenchmarkApply measures one instance that takes a change of one upstream from a
// peer: hashes, assembly and the copy of the text, without the validation.
func BenchmarkApply(b *testing.B) {
	for _, upstreams := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s := newSim(1)
			from, to := s.add(0, "a").m, s.add(1, "a").m
			from.Tick(0)
			to.Tick(0)
			for i := 0; b.Loop(); i++ {
				rev := uint64(i + 1)
				from.PlatformAnswer(0, 0, Result{Status: Changed, Revision: rev, Text: []byte(configText(upstreams, i))})
				have := to.request()
				to.ReceivePush(0, [16]byte{1}, from.ReceivePull(0, [16]byte{2}, have))
				if to.revision != rev {
					b.Fatal("not applied")
				}
			}
		})
	}
}
