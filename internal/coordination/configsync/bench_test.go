package configsync

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChange measures a change of one upstream in a domain of 40 instances: bytes on
// the wire per instance, simulated time until the last instance has the change, and CPU
// time per instance, which includes the cost of the simulation.
func BenchmarkChange(b *testing.B) {
	for _, upstreams := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			const count = 40
			s := newSim(1)
			s.publish(1, configText(upstreams, 1), 1)
			for i := range count {
				s.addInstance(i, "a")
			}
			s.updateMembers()
			s.runFor(10 * time.Second)
			bytesSent, totalDelay := 0, time.Duration(0)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				rev := uint64(2 + i)
				before, published := s.bytesSent, s.now
				s.publish(rev, configText(upstreams, int(rev)), 1)
				for !s.allHaveRevision(rev) {
					s.runFor(time.Millisecond)
				}
				totalDelay += s.now - published
				s.runFor(100 * time.Millisecond)
				bytesSent += s.bytesSent - before
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/count, "µs/instance/change")
			b.ReportMetric(float64(bytesSent)/float64(b.N)/count, "B/instance/change")
			b.ReportMetric(float64(totalDelay.Milliseconds())/float64(b.N), "ms-to-last")
			b.ReportMetric(float64(len(configText(upstreams, 1))), "B/text")
		})
	}
}

// BenchmarkApply measures the transfer of a change of one upstream from one instance to
// another: hashing, assembly and the copy of the text, without validation.
func BenchmarkApply(b *testing.B) {
	for _, upstreams := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			s := newSim(1)
			from, to := s.addInstance(0, "a").machine, s.addInstance(1, "a").machine
			from.Tick(0)
			to.Tick(0)
			for i := 0; b.Loop(); i++ {
				rev := uint64(i + 1)
				from.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: rev, Text: []byte(configText(upstreams, i))})
				pull := to.newPull()
				to.ReceivePush(0, [16]byte{1}, from.ReceivePull(0, [16]byte{2}, pull))
				if to.revision != rev {
					b.Fatal("change was not applied")
				}
			}
		})
	}
}
