package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures Enqueue, Next and Observe of one request with a
// constant number of waiting requests, spread over 6 tiers and all teams:
// go test -run '^$' -bench Request -benchmem ./internal/coordination/scheduler
func BenchmarkRequest(b *testing.B) {
	for _, teams := range []int{10, 2400} {
		for _, waiting := range []int{10, 1000, 10_000} {
			b.Run(fmt.Sprintf("teams=%d/waiting=%d", teams, waiting), func(b *testing.B) { benchmarkRequest(b, teams, waiting, 0) })
		}
	}
	// Every iteration enqueues two requests, of which the full queue sheds one on average.
	b.Run("full/teams=2400/waiting=10000", func(b *testing.B) { benchmarkRequest(b, 2400, 10_000, 10_000) })
}

func benchmarkRequest(b *testing.B, teams, waiting, queueLimit int) {
	o := Options{Objective: Goodput, QueueLimit: queueLimit}
	if queueLimit == 0 {
		o.QueueLimit = 2 * waiting
	}
	for tier := 1; tier <= 6; tier++ {
		o.Classes = append(o.Classes, Class{fmt.Sprint("class", tier), tier, time.Hour, 100 * time.Hour, time.Minute})
	}
	for i := range teams {
		o.Teams = append(o.Teams, Team{fmt.Sprint("team", i), 1 + i%5})
	}
	s := newTestScheduler(o)
	id, now := uint64(0), time.Duration(0)
	enqueue := func() {
		id++
		now += 50 * time.Microsecond
		s.Enqueue(now, Request{ID: id, Class: o.Classes[id%6].Name, Team: o.Teams[id*7919%uint64(teams)].Name, Arrived: now})
	}
	runRequest := func() {
		enqueue()
		if queueLimit > 0 {
			enqueue()
		}
		if r, ok, _ := s.Next(now); ok {
			s.Observe(now, Sample{Class: r.Class, Team: r.Team, FirstToken: 20 * ms, Service: 100 * ms, OutputTokens: 100})
		}
	}
	for range waiting {
		enqueue()
	}
	for range 2 * teams {
		runRequest()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		runRequest()
	}
	if queued := s.Pressure(now).Queued; queued < waiting*9/10 {
		b.Fatalf("%d requests wait, want about %d", queued, waiting)
	}
}
