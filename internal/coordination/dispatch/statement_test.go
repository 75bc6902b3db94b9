package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against requests that are sent to an upstream which was ready when they were placed, and whose entry shows
// since then that it is gone, leaves or is another process.
func TestGrantEndsWithTheProcessOfItsUpstream(t *testing.T) {
	ready := Upstream{ID: "i-a", Address: "10.0.0.1:80", Incarnation: "1", Slots: 4}
	with := func(change func(*Upstream)) []Upstream {
		u := ready
		change(&u)
		return []Upstream{u}
	}
	for name, tc := range map[string]struct {
		next    []Upstream
		maySend bool
	}{
		"unchanged":        {[]Upstream{ready}, true},
		"more slots":       {with(func(u *Upstream) { u.Slots = 8 }), true},
		"other capacity":   {with(func(u *Upstream) { u.KVCapacityTokens = simKVCapacity }), true},
		"gone":             {nil, false},
		"leaves":           {with(func(u *Upstream) { u.Leaving = true }), false},
		"started again":    {with(func(u *Upstream) { u.Incarnation = "2" }), false},
		"at other address": {with(func(u *Upstream) { u.Address = "10.0.0.2:80" }), false},
	} {
		d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
		d.Update(0, []Upstream{ready})
		g := d.Submit(0, Request{ID: 1, Target: time.Second, Deadline: time.Second}).Grant
		if g == nil {
			t.Fatal("no upstream was granted")
		}
		d.Update(time.Millisecond, tc.next)
		if got := d.MaySend(2*time.Millisecond, g.Token); got != tc.maySend {
			t.Errorf("%s: the request may be sent: %v, want %v", name, got, tc.maySend)
		}
	}
}

// BenchmarkMaySend measures the last decision before a request is sent, among 100 upstreams.
func BenchmarkMaySend(b *testing.B) {
	d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
	var list []Upstream
	for i := range 100 {
		list = append(list, Upstream{ID: fmt.Sprintf("i-%08x", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: "1764850000000", Slots: 4})
	}
	d.Update(0, list)
	g := d.Submit(0, Request{ID: 1, Target: time.Second, Deadline: time.Second}).Grant
	for b.Loop() {
		if !d.MaySend(time.Millisecond, g.Token) {
			b.Fatal("the upstream takes requests")
		}
	}
}

// Guards against losing what an upstream states in its answer to a request that was placed before its entry lapsed:
// entries lapse while the platform is away, and come back.
func TestStatementHoldsWhenTheEntryHasLapsedMeanwhile(t *testing.T) {
	ready := Upstream{ID: "i-a", Address: "10.0.0.1:80", Incarnation: "1", Slots: 4}
	next := ready
	next.Incarnation = "2"
	other := ready
	other.KVCapacityTokens = simKVCapacity
	for name, tc := range map[string]struct {
		atAnswer, later []Upstream
		holds           bool
	}{
		"gone at the answer, then back":             {nil, []Upstream{ready}, true},
		"gone and back before the answer":           {[]Upstream{ready}, []Upstream{ready}, true},
		"another entry of the process":              {[]Upstream{other}, []Upstream{other}, true},
		"gone at the answer, then another process":  {nil, []Upstream{next}, false},
		"another process before the answer arrives": {[]Upstream{next}, []Upstream{next}, false},
	} {
		for kind, statement := range map[string]Statement{"leaving": {Leaving: true}, "come back later": {RetryAfter: time.Minute}} {
			d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
			d.Update(0, []Upstream{ready})
			g := d.Submit(0, Request{ID: 1, Target: time.Second, Deadline: time.Second}).Grant
			d.Update(time.Millisecond, nil)
			d.Update(2*time.Millisecond, tc.atAnswer)
			d.RecordStatement(3*time.Millisecond, g.Token, statement)
			d.Done(3*time.Millisecond, g.Token, Refused)
			d.Update(4*time.Millisecond, tc.later)
			placed := d.Submit(5*time.Millisecond, Request{ID: 2, Target: time.Second, Deadline: time.Second}).Grant != nil
			if placed == tc.holds {
				t.Errorf("%s, %s: a request was placed: %v, want %v", name, kind, placed, !tc.holds)
			}
		}
	}
}

// Guards against a time to come back that is forgotten because the entry of the process which stated it arrives later, as when
// the platform was away at its start; and against one that the process before has stated.
func TestStatementOutlastsTheLateEntryOfItsProcess(t *testing.T) {
	for name, tc := range map[string]struct {
		started time.Duration
		silent  bool
	}{"stated after the start": {time.Second, true}, "stated before the start": {3 * time.Second, false}, "start unknown": {0, false}} {
		t.Run(name, func(t *testing.T) {
			d := New(Options{}, rand.New(rand.NewPCG(1, 2)))
			d.Update(0, []Upstream{{ID: "u", Incarnation: "1", Slots: 8}})
			g := d.Submit(time.Second, Request{ID: 1, Target: time.Minute, Deadline: time.Minute}).Grant
			d.RecordStatement(2*time.Second, g.Token, Statement{RetryAfter: 5 * time.Second})
			d.Done(2*time.Second, g.Token, Refused)
			d.Update(2500*time.Millisecond, []Upstream{{ID: "u", Incarnation: "2", StartedAt: tc.started, Slots: 8}})
			if got := d.Snapshot(2500 * time.Millisecond)[0].Silent; got != tc.silent {
				t.Errorf("wants no requests: %v, want %v", got, tc.silent)
			}
		})
	}
}
