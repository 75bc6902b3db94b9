package emulator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

// callLimit limits calls in windows of one second. A waiting watch takes one call of each
// second; that includes its request and its response.
type callLimit struct {
	perSecond    int
	windowSecond int64 // Unix time of the window that used counts
	used         int
	waiting      int
}

func (l *callLimit) advanceWindow(now time.Time) {
	if second := now.Unix(); second != l.windowSecond {
		l.windowSecond, l.used = second, 0
	}
}

// allow reports whether one more call is allowed and, if so, counts it.
func (l *callLimit) allow(now time.Time) bool {
	l.advanceWindow(now)
	if l.used+l.waiting >= l.perSecond {
		return false
	}
	l.used++
	return true
}

// beginWatch turns a counted call into a waiting watch.
func (l *callLimit) beginWatch(now time.Time) {
	l.advanceWindow(now)
	l.used = max(0, l.used-1)
	l.waiting++
}

// endWatch turns a waiting watch into a call of the current second.
func (l *callLimit) endWatch(now time.Time) {
	l.advanceWindow(now)
	l.waiting--
	l.used++
}

func (p *Platform) status() any {
	return Status[PlatformFaults, PlatformCounters]{Name: "platform", Faults: p.Faults(), Counters: p.Counters()}
}

func (p *Platform) apply(c Command) error {
	faults, err := mergeJSON(p.Faults(), c.Faults)
	if err != nil {
		return err
	}
	if c.Instances != nil {
		var list []platformapi.Instance
		if err := json.Unmarshal(c.Instances, &list); err != nil {
			return errors.Wrap(err, "instances")
		}
		p.SetInstances(list)
	}
	if c.Configuration != "" {
		if _, err := p.Publish([]byte(c.Configuration)); err != nil {
			return err
		}
	}
	p.SetFaults(faults)
	return nil
}
