package emulator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

// callLimit counts calls in windows of one second. A waiting watch takes one call
// of each second; the arrival of a watch and its answer are part of that.
type callLimit struct {
	limit   int
	window  int64 // Unix second of used
	used    int
	waiting int
}

func (l *callLimit) roll(now time.Time) {
	if second := now.Unix(); second != l.window {
		l.window, l.used = second, 0
	}
}

// call reports whether one more call is allowed and counts it.
func (l *callLimit) call(now time.Time) bool {
	l.roll(now)
	if l.used+l.waiting >= l.limit {
		return false
	}
	l.used++
	return true
}

// park turns a counted call into a waiting watch.
func (l *callLimit) park(now time.Time) {
	l.roll(now)
	l.used = max(0, l.used-1)
	l.waiting++
}

// unpark turns a waiting watch into a call of the current second.
func (l *callLimit) unpark(now time.Time) {
	l.roll(now)
	l.waiting--
	l.used++
}

func (p *Platform) status() any {
	return Status[PlatformSwitches, PlatformCounters]{Name: "platform", Switches: p.Switches(), Counters: p.Counters()}
}

func (p *Platform) apply(c Command) error {
	s, err := overlay(p.Switches(), c.Switches)
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
	if c.Publish != "" {
		if _, err := p.Publish([]byte(c.Publish)); err != nil {
			return err
		}
	}
	p.SetSwitches(s)
	return nil
}
