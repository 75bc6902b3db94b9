package caller

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// drainPollInterval is the interval at which a drain checks whether its requests have completed.
	drainPollInterval = 20 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the last answers and the exit of the process.
	exitMargin = 400 * time.Millisecond
	// lastAnswersTime bounds the wait for the answers to requests that the end of the grace period has ended.
	lastAnswersTime = exitMargin / 2
)

// Drain is the end of the service of an instance. The listener takes connections until the delay is over; then
// those that wait for a request are closed, and requests in progress are completed within the grace period.
type Drain struct {
	// StartedAt is when the process was told to stop.
	StartedAt time.Time
	// Delay is how long connections are taken: the balancer may not know of the stop before.
	Delay time.Duration
	// Grace is how long after StartedAt the process may run.
	Grace time.Duration
	// DelayOver is called before the listener closes. Requests that may not end before endsAt must be refused from
	// then on.
	DelayOver func(endsAt time.Time)
	// OtherWork returns what is in progress without a connection from a caller; nil: nothing.
	OtherWork func() int
	// EndRequests ends the requests that are in progress at the end of the grace period, so that they are answered.
	EndRequests func()
}

// EndsAt returns when the requests that are left are ended.
func (d Drain) EndsAt() time.Time { return d.StartedAt.Add(d.Grace - exitMargin) }

// Drain carries out a drain. It returns when nothing is in progress, or when the requests that were left had time
// to be answered.
func (l *Listener) Drain(d Drain) error {
	time.Sleep(time.Until(d.StartedAt.Add(d.Delay)))
	d.DelayOver(d.EndsAt())
	if err := l.CloseAfterBacklog(); err != nil {
		return errors.Wrap(err, "close caller listener")
	}
	l.Connections.CloseWaiting(d.EndsAt())
	AwaitIdle(d.EndsAt(), func() int {
		work := l.Connections.Counts().Total()
		if d.OtherWork != nil {
			work += d.OtherWork()
		}
		return work
	})
	d.EndRequests()
	AwaitIdle(time.Now().Add(lastAnswersTime), func() int { return l.Connections.Counts().Total() })
	return nil
}

// AwaitIdle waits until inProgress returns 0, at most until a time.
func AwaitIdle(until time.Time, inProgress func() int) {
	for inProgress() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}
