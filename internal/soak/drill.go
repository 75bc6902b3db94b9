package soak

import (
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	// storeAwayTime is how long the store is away before it comes back from an older copy.
	storeAwayTime = 300 * time.Millisecond
	// rewritePause is the time between two entries that are written again. The last upstream writes
	// within about two seconds of the store's return.
	rewritePause = 100 * time.Millisecond
)

// drill is the time from the store's absence until everything has been written again.
type drill struct{ begin, end time.Time }

// returnStore lets the store come back from a copy that is as old as the fault lasts. Then the operator
// and the upstreams write again, one after the other, what they wrote since.
func (tb *testbed) returnStore(waitForEnd func()) {
	older := tb.store.Copy()
	waitForEnd()
	tb.mu.Lock()
	i := len(tb.drills)
	tb.drills = append(tb.drills, drill{begin: time.Now()})
	tb.mu.Unlock()
	tb.adjustStoreFailures(1)
	time.Sleep(storeAwayTime)
	tb.store.ReturnFrom(older)
	tb.adjustStoreFailures(-1)
	for _, u := range tb.upstreams {
		time.Sleep(rewritePause)
		u.writeAgain(tb.store)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.store.PutConfiguration(tb.configuration)
	tb.drills[i].end = time.Now()
}

// registrationState is what an upstream has published last.
type registrationState int

const (
	serving registrationState = iota
	leaving
	removed
)

// register publishes the state of an upstream.
func (u *upstream) register(store *standin.Store, state registrationState) {
	u.registrationMu.Lock()
	defer u.registrationMu.Unlock()
	u.state = state
	u.write(store)
}

// writeAgain publishes the last state again; an upstream that is gone writes nothing, and its entry of
// the older copy lapses.
func (u *upstream) writeAgain(store *standin.Store) {
	u.registrationMu.Lock()
	defer u.registrationMu.Unlock()
	u.write(store)
}

func (u *upstream) write(store *standin.Store) {
	if u.state == removed {
		store.RemoveUpstream(u.Upstream)
		return
	}
	store.PutUpstream(u.Upstream, u.registration(u.state == leaving))
}

// drillExcuses reports whether a drill excuses that a change is not in force at a request: the change was
// not settled when the drill began, and the drill had not ended long enough before the request.
func (tb *testbed) drillExcuses(changedAt, sentAt time.Time) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, d := range tb.drills {
		settled := changedAt.Add(maxChangeDelay).Before(d.begin)
		ongoing := sentAt.After(d.begin) && (d.end.IsZero() || sentAt.Before(d.end.Add(stabilityPeriod)))
		if !settled && ongoing {
			return true
		}
	}
	return false
}
