package balancer

import "time"

// reportValid is the age at which a load report has lost its influence. Reports lag
// by up to seconds; the influence falls linearly until then.
const reportValid = 5 * time.Second

// reportFresh is the age up to which a report informs the limit.
const reportFresh = 2 * time.Second

// loadReport is the newest load report of an upstream, adjusted by what this instance
// has sent and completed since it was measured.
type loadReport struct {
	incarnation string
	known       bool
	measured    time.Duration
	running     int
	waiting     int
	sent        int // dispatched after the measurement and in flight
	completed   int // dispatched before the measurement and done since
}

// dispatched counts a request sent after the measurement.
func (l *loadReport) dispatched() { l.sent++ }

// done counts a request that is no longer in flight.
func (l *loadReport) done(dispatched time.Duration) {
	switch {
	case dispatched > l.measured:
		l.sent = max(0, l.sent-1)
	default:
		l.completed++
	}
}

// queueShare estimates the share of the upstream's requests that wait there, scaled
// by the age of the report.
func (l *loadReport) queueShare(now time.Duration) float64 {
	age := now - l.measured
	if !l.known || l.waiting == 0 || age >= reportValid {
		return 0
	}
	queued := max(0, l.waiting+l.sent-l.completed)
	weight := 1 - float64(age)/float64(reportValid)
	return weight * float64(queued) / float64(queued+l.running+1)
}

// fresh reports whether the report is recent enough to inform the limit.
func (l *loadReport) fresh(now time.Duration) bool {
	return l.known && now-l.measured <= reportFresh
}

// reportLoad stores a report unless a newer one is known.
func (b *Balancer) reportLoad(now time.Duration, u *upstream, l LoadReport) {
	measured := now - max(0, l.Age)
	if u.report.known && measured < u.report.measured {
		return
	}
	if u.report.known && u.report.incarnation != l.Incarnation {
		b.restarted(u)
	}
	sent := b.slots.since(u, measured)
	u.report = loadReport{
		incarnation: l.Incarnation, known: true, measured: measured,
		running: max(0, l.Running), waiting: max(0, l.Waiting), sent: sent,
	}
}

// restarted resets the learned state after a change of incarnation. An ejected
// upstream stays ejected but may be probed at once: the report shows that it runs,
// not that it serves.
func (b *Balancer) restarted(u *upstream) {
	wasEjected := u.eject.ejected
	b.resetLearned(u)
	u.eject.ejected = wasEjected
}
