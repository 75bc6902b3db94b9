package configsync

import "time"

const (
	// minBackoff and maxBackoff limit the delay between calls while the platform fails.
	// maxBackoff leaves half of the 8 s, within which a revision must reach all
	// instances, for its distribution.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// callTimeoutMargin is the time beyond its wait after which a call counts as failed.
	// A call that gets no response thus costs 4 s of the 8 s.
	callTimeoutMargin = time.Second
	// startupJitter is the period over which instances that start together spread their
	// first calls: 3,100 of them make at most 1,550 calls a second.
	startupJitter = 2 * time.Second
	// minWatchInterval is the shortest time between two calls of one reader. It limits
	// the call rate when a stale replica responds immediately with an old revision.
	minWatchInterval = 100 * time.Millisecond
	// fallbackReadInterval is the mean interval between fallback reads in one domain, over
	// all its members that are not readers: 19 calls a second for the planned 19 domains.
	fallbackReadInterval = time.Second
)

// ResultStatus is the outcome of a call to the platform.
type ResultStatus uint8

// Outcomes of a call to the platform.
const (
	// Changed carries a revision and its text.
	Changed ResultStatus = iota + 1
	// NotModified means that the platform has no revision above the requested one.
	NotModified
	// Failed means that there was no usable response.
	Failed
)

// Result is the outcome of a call to the platform.
type Result struct {
	Status   ResultStatus
	Revision uint64
	Text     []byte
}

// platformWatch is the state of the calls to the platform; one runs at a time.
type platformWatch struct {
	id         uint64
	inProgress bool
	deadline   time.Duration
	nextCallAt time.Duration // earliest time of the next call
	failures   int
	// nextFallbackAt is the time of the next fallback read while this instance is not a
	// reader; zero until the first one is scheduled.
	nextFallbackAt   time.Duration
	rejectedRevision uint64 // highest revision from the platform that was rejected
}

// advanceWatch starts a call if this instance is a reader, if it is starting and has
// neither a revision nor a response of the platform, or if a fallback read is due.
func (m *Machine) advanceWatch(now time.Duration) {
	w := &m.platformWatch
	if w.inProgress && now >= w.deadline {
		m.recordWatchFailure(now)
	}
	if w.inProgress || now < w.nextCallAt || !m.started {
		return
	}
	if !m.isReader && (m.ready || m.hasRevision || m.platformResponded) && !m.fallbackDue(now) {
		return
	}
	wait := LongPollWait
	if !m.isReader || !m.ready && !m.platformResponded {
		wait = 0 // fetch the current revision instead of waiting for the next one
	}
	w.id++
	w.inProgress, w.deadline = true, now+wait+callTimeoutMargin
	m.stats.PlatformCalls++
	m.actions = append(m.actions, Watch{ID: w.id, After: m.watchAfter(), Wait: wait})
}

// fallbackDue reports whether an instance that is not a reader should read from the
// platform now, and schedules its next read. Fallback reads are needed because the readers
// may be unable to reach the platform while other members can.
func (m *Machine) fallbackDue(now time.Duration) bool {
	w := &m.platformWatch
	if !m.ready || now < w.nextFallbackAt {
		return false
	}
	period := time.Duration(max(len(m.membersByDomain[m.options.Self.Domain]), 1)) * fallbackReadInterval
	if w.nextFallbackAt == 0 {
		// Spread the first reads evenly over the period, for instances that started together.
		w.nextFallbackAt = now + time.Duration(m.rng.Int64N(int64(period)))
		return false
	}
	w.nextFallbackAt = now + period - period/8 + time.Duration(m.rng.Int64N(int64(period/4)))
	return true
}

// watchAfter returns the revision that a call asks to be exceeded: the active one, or a
// higher one from the platform that was rejected and need not be sent again.
func (m *Machine) watchAfter() uint64 { return max(m.revision, m.platformWatch.rejectedRevision) }

func (m *Machine) recordWatchFailure(now time.Duration) {
	w := &m.platformWatch
	w.inProgress = false
	m.stats.PlatformFailures++
	backoffLimit := min(maxBackoff, minBackoff<<min(w.failures, 8))
	w.failures++
	// Full jitter, so that readers that failed together do not retry together.
	w.nextCallAt = now + minBackoff/2 + time.Duration(m.rng.Int64N(int64(backoffLimit)))
}

func (m *Machine) receivePlatformResult(now time.Duration, id uint64, r Result) {
	w := &m.platformWatch
	isCurrentCall := w.inProgress && id == w.id
	if r.Status == Changed {
		// A late response to a call that was counted as failed is still valid.
		m.platformResponded = true
		m.receivePlatformText(now, r.Revision, r.Text)
		if r.Revision > m.revision {
			w.rejectedRevision = max(w.rejectedRevision, r.Revision)
		}
	}
	if !isCurrentCall {
		return
	}
	if r.Status != Changed && r.Status != NotModified {
		m.recordWatchFailure(now)
		return
	}
	m.platformResponded = true
	w.inProgress, w.failures = false, 0
	w.nextCallAt = now + minWatchInterval
	if !m.ready {
		w.nextCallAt = now + startupJitter // after the first calls of all instances that started together
	}
}
