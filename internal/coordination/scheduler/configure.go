package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

// Reconfigure replaces the options and keeps the queued requests. They follow
// the new parameters; a request whose class is gone keeps the old ones of its
// class until it leaves, and one whose team is gone the team's old weight. The
// cost is O(n log n) for n queued requests, and nothing when the options are the same.
func (s *Scheduler) Reconfigure(now time.Duration, o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.equal(o) {
		return
	}
	queued := make([]*item, 0, len(s.items))
	for _, x := range s.items {
		queued = append(queued, x)
	}
	slices.SortFunc(queued, func(a, b *item) int { return a.Compare(&b.Entry) })
	passed := s.passed
	s.passed = nil
	for _, x := range queued {
		x.class.queued = 0
	}
	s.configure(o)
	for _, x := range queued {
		s.refile(now, x, passed == x)
	}
	s.sync(now)
}

// equal reports whether two options are the same.
func (o Options) equal(p Options) bool {
	return slices.Equal(o.Classes, p.Classes) && slices.Equal(o.Teams, p.Teams) &&
		o.QueueLimit == p.QueueLimit && o.AgedShare == p.AgedShare &&
		o.Objective == p.Objective && o.PeerStaleness == p.PeerStaleness
}

// configure puts options in force, with an empty queue.
func (s *Scheduler) configure(o Options) {
	s.options = o
	s.options.Classes, s.options.Teams = slices.Clone(o.Classes), slices.Clone(o.Teams)
	s.objective = o.Objective
	s.agedShare = max(orDefault(o.AgedShare, defaultAgedShare), leastAgedShare)
	s.sinceAged = min(s.sinceAged, s.agedShare-1)
	s.staleness = orDefault(o.PeerStaleness, defaultPeerStaleness)

	s.weights = make(map[string]int, len(o.Teams))
	for _, t := range o.Teams {
		s.weights[t.Name] = max(t.Weight, 1)
	}
	s.configureClasses(o.Classes)

	limit := orDefault(o.QueueLimit, defaultQueueLimit)
	s.queue = fairqueue.New[*item](limit, max(limit/s.agedShare, 1), s.top)
	clear(s.items)
	s.aged = fairqueue.NewHeap(
		func(a, b *item) bool {
			if a.forcedAt != b.forcedAt {
				return a.forcedAt < b.forcedAt
			}
			return a.Compare(&b.Entry) < 0
		},
		func(x *item, i int) { x.agedPos = i },
	)
}

// configureClasses replaces the classes and keeps what was learned about those that stay.
func (s *Scheduler) configureClasses(classes []Class) {
	old := s.classes
	s.classes = make(map[string]*class, len(classes))
	s.all = s.all[:0]
	s.top = math.MaxInt
	for _, c := range classes {
		l := newLearned()
		if before := old[c.Name]; before != nil {
			l = before.learned
			for team := range l.teams {
				if _, ok := s.weights[team]; !ok {
					delete(l.teams, team)
				}
			}
		}
		s.classes[c.Name] = newClass(c, l)
		s.all = append(s.all, s.classes[c.Name])
		s.top = min(s.top, c.Tier)
	}
}

// refile queues x again after the options changed.
func (s *Scheduler) refile(now time.Duration, x *item, passed bool) {
	c := s.classes[x.request.Class]
	if c == nil {
		c = s.formerClass(x.class)
	}
	fresh := s.newItem(now, c, x.request)
	fresh.wait = x.wait
	if _, ok := s.weights[x.Team]; !ok {
		fresh.Weight = x.Weight
	}
	s.insert(fresh)
	if passed {
		s.passOver(now, fresh)
	}
}

// formerClass returns the copy of a class that is no longer configured.
func (s *Scheduler) formerClass(old *class) *class {
	for _, c := range s.all {
		if c.learned == old.learned {
			return c
		}
	}
	c := newClass(old.Class, old.learned)
	s.all = append(s.all, c)
	return c
}

func orDefault[T int | time.Duration](x, fallback T) T {
	if x <= 0 {
		return fallback
	}
	return x
}
