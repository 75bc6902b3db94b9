package configsync

import "time"

const (
	// minBackoff and maxBackoff bound the wait between calls to a platform that
	// fails. The upper one leaves half of the 8 s bound for spreading.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// answerSlack is added to the wait of a call before it counts as lost. A call that
	// went silent thus costs 4 s of the 8 s bound.
	answerSlack = time.Second
	// freshSpread spreads the first reads of instances that start together: 3,100 of
	// them make at most 1,550 calls a second.
	freshSpread = 2 * time.Second
	// minWatchGap is the shortest time between two calls of one reader. It bounds
	// the calls when a stale replica answers at once with an old revision.
	minWatchGap = 100 * time.Millisecond
	// fallbackPeriod is the mean time between the reads of those members of a domain
	// that are not its readers, all together: 19 calls a second for 19 domains.
	fallbackPeriod = time.Second
)

// ResultStatus is the outcome of a call to the platform.
type ResultStatus uint8

// Outcomes of a call to the platform.
const (
	// Changed carries a revision and its text.
	Changed ResultStatus = iota + 1
	// NotModified means that there is nothing above the revision asked for.
	NotModified
	// Failed means that there was no usable answer.
	Failed
)

// Result is the outcome of a call to the platform.
type Result struct {
	Status   ResultStatus
	Revision uint64
	Text     []byte
}

// watch is the call to the platform; one runs at a time.
type watch struct {
	id       uint64
	running  bool
	deadline time.Duration
	at       time.Duration // earliest time of the next call
	failures int
	// fallbackAt is the time of the next read of an instance that is no reader; zero
	// until the first one is planned.
	fallbackAt time.Duration
	after      uint64 // highest revision that the platform has answered with
}

// stepWatch starts a call when this instance is a reader, or is fresh and has heard
// of no revision from its peers.
func (m *Machine) stepWatch(now time.Duration) {
	w := &m.watch
	if w.running && now >= w.deadline {
		m.watchFailed(now)
	}
	if w.running || now < w.at || !m.started {
		return
	}
	if !m.reading && (m.ready || m.accepted || m.heardPlat) && !m.fallbackDue(now) {
		return
	}
	wait := WatchWait
	if !m.reading || !m.ready && !m.heardPlat {
		wait = 0 // a fresh instance wants the current revision, not the next one
	}
	w.id++
	w.running, w.deadline = true, now+wait+answerSlack
	m.stats.PlatformCalls++
	m.out = append(m.out, Watch{ID: w.id, After: m.after(), Wait: wait})
}

// fallbackDue reports whether an instance that is no reader reads at the platform. The
// readers may be cut off from the platform while others are not.
func (m *Machine) fallbackDue(now time.Duration) bool {
	w := &m.watch
	if !m.ready || now < w.fallbackAt {
		return false
	}
	period := time.Duration(max(len(m.members[m.opts.Self.Domain]), 1)) * fallbackPeriod
	if w.fallbackAt == 0 {
		// Instances that started together read evenly from the start.
		w.fallbackAt = now + time.Duration(m.rng.Int64N(int64(period)))
		return false
	}
	w.fallbackAt = now + period - period/8 + time.Duration(m.rng.Int64N(int64(period/4)))
	return true
}

// after returns the highest revision that the platform need not send again: the one
// in force, or a higher one of the platform that was refused.
func (m *Machine) after() uint64 { return max(m.revision, m.watch.after) }

func (m *Machine) watchFailed(now time.Duration) {
	w := &m.watch
	w.running = false
	m.stats.PlatformFailures++
	limit := min(maxBackoff, minBackoff<<min(w.failures, 8))
	w.failures++
	// Full jitter: readers that failed together do not come back together.
	w.at = now + minBackoff/2 + time.Duration(m.rng.Int64N(int64(limit)))
}

func (m *Machine) platformAnswer(now time.Duration, id uint64, r Result) {
	w := &m.watch
	current := w.running && id == w.id
	if r.Status == Changed {
		// The answer to a call that counts as lost is as good as any other.
		m.heardPlat = true
		m.offerText(now, r.Revision, r.Text)
		if r.Revision > m.revision {
			w.after = max(w.after, r.Revision)
		}
	}
	if !current {
		return
	}
	if r.Status != Changed && r.Status != NotModified {
		m.watchFailed(now)
		return
	}
	m.heardPlat = true
	w.running, w.failures = false, 0
	w.at = now + minWatchGap
	if !m.ready {
		w.at = now + freshSpread // behind the first calls of all others
	}
}
