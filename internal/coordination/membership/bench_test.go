package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSecond measures one simulated second of all members, with the encoding, MACs
// and replay windows of the transport. It reports the processor time (including that of
// the simulation itself), bytes and datagrams per member. Every member reports a new
// pressure of 40 bytes each second.
func BenchmarkSecond(b *testing.B) {
	for _, domains := range []int{1, 3} {
		for _, size := range []int{8, 40, 160, 480} {
			if domains*size > 480 {
				continue
			}
			b.Run(fmt.Sprintf("domains=%d/size=%d", domains, size), func(b *testing.B) {
				benchmarkSecond(b, domains, size, nil)
			})
		}
	}
}

// BenchmarkChurn is BenchmarkSecond with one member leaving and another joining every
// ten simulated seconds, far more often than at the target scale.
func BenchmarkChurn(b *testing.B) {
	for _, size := range []int{8, 40, 160} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			second := 0
			benchmarkSecond(b, 1, size, func(s *sim) {
				if second++; second%10 == 0 {
					old := s.nodes[len(s.nodes)-size]
					s.leave(old)
					s.run(5 * simLatency)
					s.kill(old)
					octets := old.self.UDP.Addr().As4()
					s.add(int(octets[2])<<8|int(octets[3]), "a")
				}
			})
		})
	}
}

func benchmarkSecond(b *testing.B, domains, size int, eachSecond func(*sim)) {
	names := make([]string, domains)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	s := newCluster(1, size, names...)
	s.encodeMessages = true
	s.run(120 * time.Second) // until the records of the start are no longer piggybacked
	sent, bytes := 0, 0
	for _, n := range s.nodes {
		sent, bytes = sent-n.sent, bytes-n.bytes
	}
	members := float64(size * domains)
	b.ResetTimer()
	for b.Loop() {
		for _, n := range s.nodes {
			if n.alive {
				n.machine.SetMetadata(s.localTime(n), 1, make([]byte, 40))
			}
		}
		if eachSecond != nil {
			eachSecond(s)
		}
		s.run(time.Second)
	}
	elapsed := b.Elapsed()
	for _, n := range s.nodes {
		sent, bytes = sent+n.sent, bytes+n.bytes
	}
	seconds := float64(b.N) * members
	b.ReportMetric(float64(elapsed.Microseconds())/seconds, "µs/member/s")
	b.ReportMetric(float64(bytes)/seconds, "B-sent/member/s")
	b.ReportMetric(float64(sent)/seconds, "datagrams/member/s")
}

// BenchmarkMemory measures the heap that one machine uses per member it knows.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{8, 40, 160, 640} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			var heap uint64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := newMachineWithMembers(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
				heap += after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(heap)/float64(b.N)/float64(size), "B/known-member")
		})
	}
}

func newMachineWithMembers(size int) *Machine {
	newMember := func(i int) Member {
		addr := simAddr(i)
		member := Member{Name: fmt.Sprintf("lanester-%03d", i), Domain: "lanester", UDP: addr, TCP: addr, State: Alive, Pressure: make([]byte, 40)}
		member.Incarnation.Process = Process{byte(i), byte(i >> 8), 1}
		return member
	}
	m := New(Options{Self: newMember(0)}, rand.New(rand.NewPCG(1, 1)))
	for i := 1; i <= size; i++ {
		m.Receive(0, simAddr(i), Message{Kind: Ack, From: newMember(i)})
	}
	return m
}
