package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an upstream that sends no responses, but bytes without end, to each request until
// its owner notices: it accepts connections all the time.
func TestUpstreamWithMalformedResponsesIsEjectedAndTriedWithCare(t *testing.T) {
	const length, recovery = 10 * time.Second, time.Minute
	d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
	d.Update(0, []Upstream{{ID: "bad", Slots: 4}, {ID: "b", Slots: 4}})
	var bad, good int // requests to the bad upstream while it fails, and afterwards
	for now := time.Duration(0); now < length+recovery; now += 10 * time.Millisecond {
		for _, u := range d.ProbesDue(now) {
			d.RecordProbe(now, u.ID, true)
		}
		var grants []*Grant
		for i := range 4 {
			if g := d.Submit(now, Request{ID: uint64(now) + uint64(i) + 1, Arrived: now, Target: now + time.Second, Deadline: now + time.Second}).Grant; g != nil {
				grants = append(grants, g)
			}
		}
		onTrial := 0
		for _, g := range grants {
			switch {
			case g.Upstream.ID != "bad":
				d.FirstOutput(now+5*time.Millisecond, g.Token)
				d.Done(now+5*time.Millisecond, g.Token, Succeeded)
			case now < length:
				if bad++; bad > maxMalformed+4 {
					onTrial++
				}
				d.Done(now, g.Token, Malformed)
			default:
				good++
				d.FirstOutput(now+5*time.Millisecond, g.Token)
				d.Done(now+5*time.Millisecond, g.Token, Succeeded)
			}
		}
		if onTrial > 1 {
			t.Fatalf("%d requests at a time on trial at %v", onTrial, now)
		}
	}
	if limit := maxMalformed + 4 + int(length/maxBackoff) + 8; bad > limit {
		t.Errorf("%d requests were lost to it in %v, want at most %d", bad, length, limit)
	}
	if good == 0 {
		t.Error("it got no request after it had recovered")
	}
}
