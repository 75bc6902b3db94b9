package caller

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

const (
	// drainPollInterval is the interval at which a drain checks whether its requests have completed.
	drainPollInterval = 20 * time.Millisecond
	// deliveryPollInterval is the interval at which it looks for responses that have not arrived at their callers.
	deliveryPollInterval = 100 * time.Millisecond
)

// Drain is the end of the service of an instance: it carries out what its life demands after Stop.
type Drain struct {
	// Life is the life of the instance, which has been told to stop.
	Life *lifecycle.Life
	// DelayOver is called before the listener closes.
	DelayOver func()
	// OtherWork returns what is in progress without a connection from a caller; nil: nothing.
	OtherWork func() int
	// EndRequests ends the requests that are in progress at the end of the grace period, so that they are answered.
	EndRequests func()
}

// inProgress returns what the current state waits for.
func (d Drain) inProgress(l *Listener) int {
	work := l.Connections.Counts().Total()
	if d.OtherWork != nil && d.Life.State() < lifecycle.Ending {
		work += d.OtherWork()
	}
	return work
}

// Drain carries out a drain. It returns when nothing is in progress, or when the requests that were left had time
// to be answered.
func (l *Listener) Drain(d Drain) error {
	var lookedAt time.Time
	for {
		state, entered := d.Life.Advance(time.Now(), d.inProgress(l))
		if !entered {
			if time.Since(lookedAt) >= deliveryPollInterval {
				lookedAt = time.Now()
				l.Connections.noteResponsesOnTheirWay()
			}
			time.Sleep(drainPollInterval)
			continue
		}
		switch state {
		case lifecycle.Draining:
			d.DelayOver()
			if err := l.CloseAfterBacklog(); err != nil {
				return errors.Wrap(err, "close caller listener")
			}
			l.Connections.CloseWaiting(d.Life.EndsAt())
		case lifecycle.Ending:
			d.EndRequests()
		case lifecycle.Stopped:
			return nil
		}
	}
}

// AwaitIdle waits until inProgress returns 0, at most until a time.
func AwaitIdle(until time.Time, inProgress func() int) {
	for inProgress() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}
