package balancer

import "time"

// maxReportAge is the age at which a load report no longer affects the selection. Reports
// arrive up to seconds late; their weight falls linearly with their age.
const maxReportAge = 5 * time.Second

// freshReportAge is the age up to which a load report affects the concurrency limit.
const freshReportAge = 2 * time.Second

// loadReport is the newest load report of an upstream, together with the requests that
// this instance has sent and completed since the load was measured.
type loadReport struct {
	incarnation    string
	received       bool
	measuredAt     time.Duration
	running        int
	waiting        int
	sentSince      int // dispatched after the measurement and in flight
	completedSince int // dispatched before the measurement and completed after it
}

// recordDispatch counts a request that is sent after the measurement.
func (r *loadReport) recordDispatch() { r.sentSince++ }

// recordDone counts a request that has ended.
func (r *loadReport) recordDone(dispatchedAt time.Duration) {
	switch {
	case dispatchedAt > r.measuredAt:
		r.sentSince = max(0, r.sentSince-1)
	default:
		r.completedSince++
	}
}

// queuedShare estimates the share of the upstream's requests that are queued there,
// weighted by the age of the report.
func (r *loadReport) queuedShare(now time.Duration) float64 {
	age := now - r.measuredAt
	if !r.received || r.waiting == 0 || age >= maxReportAge {
		return 0
	}
	queued := max(0, r.waiting+r.sentSince-r.completedSince)
	weight := 1 - float64(age)/float64(maxReportAge)
	return weight * float64(queued) / float64(queued+r.running+1)
}

// fresh reports whether the report is recent enough to affect the concurrency limit.
func (r *loadReport) fresh(now time.Duration) bool {
	return r.received && now-r.measuredAt <= freshReportAge
}

// applyLoadReport stores a report unless a newer one was received.
func (b *Balancer) applyLoadReport(now time.Duration, u *upstream, report LoadReport) {
	measuredAt := now - max(0, report.Age)
	if u.loadReport.received && measuredAt < u.loadReport.measuredAt {
		return
	}
	if u.loadReport.received && u.loadReport.incarnation != report.Incarnation {
		b.resetIncarnation(u)
	}
	sentSince := b.slots.countDispatchedAfter(u, measuredAt)
	u.loadReport = loadReport{
		incarnation: report.Incarnation, received: true, measuredAt: measuredAt,
		running: max(0, report.Running), waiting: max(0, report.Waiting), sentSince: sentSince,
	}
}

// resetIncarnation resets the learned state after a change of incarnation. An ejected
// upstream stays ejected but can be probed immediately: the report shows that its process
// runs, not that it can serve requests.
func (b *Balancer) resetIncarnation(u *upstream) {
	wasEjected := u.ejection.ejected
	b.resetLearnedState(u)
	u.ejection.ejected = wasEjected
}
