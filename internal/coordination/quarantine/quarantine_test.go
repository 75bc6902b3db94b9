package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20260302, Checks: 2000, Steps: 60}) }

// TestMergeIsAUnion guards against results that depend on the order, the grouping or the
// repetition of suspicions, and against a stale clearing that hides a later crash.
func TestMergeIsAUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Suspicion {
			return Suspicion{
				Fingerprint: Fingerprint(rapid.IntRange(0, 3).Draw(t, "fingerprint")),
				Team:        "team",
				Crashes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) CrashID {
					return CrashID{fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "upstream")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "incarnation"))}
				}), 1, 3).Draw(t, "crashes"),
				Cleared: rapid.Bool().Draw(t, "cleared"),
				Age:     time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Second,
			}
		}), 1, 8).Draw(t, "messages")
		state := make(map[Fingerprint]map[CrashID]bool) // cleared by crash
		for _, x := range messages {
			for _, c := range x.Crashes {
				if state[x.Fingerprint] == nil {
					state[x.Fingerprint] = make(map[CrashID]bool)
				}
				state[x.Fingerprint][c] = state[x.Fingerprint][c] || x.Cleared
			}
		}
		const now = time.Hour
		inOrder, shuffled, forwarded := New(Options{}), New(Options{}), New(Options{})
		inOrder.Merge(now, messages)
		again := rapid.Permutation(slices.Concat(messages, messages[:len(messages)/2])).Draw(t, "again")
		for _, x := range again {
			shuffled.Merge(now, []Suspicion{x})
		}
		forwarded.Merge(now, shuffled.Snapshot(now))
		// Late copies of the crashes do not undo the clearings in the snapshot.
		forwarded.Merge(now, slices.DeleteFunc(slices.Clone(messages), func(x Suspicion) bool { return x.Cleared }))
		for f := range Fingerprint(4) {
			open := 0
			for _, cleared := range state[f] {
				if !cleared {
					open++
				}
			}
			want := []Verdict{Clear, Suspect, Refuse}[min(open, convictingCrashes)]
			for i, q := range []*Quarantine{inOrder, shuffled, forwarded} {
				if got := q.Check(now, f); got != want {
					t.Fatalf("copy %d: fingerprint %d is %s, want %s", i, f, got, want)
				}
			}
		}
		if a, b := inOrder.ages(now), shuffled.ages(now); !slices.Equal(a, b) {
			t.Fatalf("ages %v and %v differ", a, b)
		}
	})
}

// ages returns the ages of all suspects in the order of their fingerprints.
func (q *Quarantine) ages(now time.Duration) []time.Duration {
	snapshot := q.Snapshot(now)
	slices.SortFunc(snapshot, func(a, b Suspicion) int { return int(a.Fingerprint) - int(b.Fingerprint) })
	var ages []time.Duration
	for _, x := range snapshot {
		ages = append(ages, x.Age)
	}
	return ages
}

// region is a model of instances that exchange suspicions and share upstreams.
type region struct {
	rng        *rand.Rand
	now        time.Duration
	instances  []*Quarantine
	restarts   map[string]int // restarts of each upstream
	pending    []delivery
	lossy      bool
	running    []task
	beside     map[Fingerprint]map[CrashID]bool // crashes that a request ran beside
	poisonRuns int
}

type delivery struct {
	to         int
	suspicions []Suspicion
}

type task struct {
	f        Fingerprint
	instance int
	upstream string
	isolated bool
}

const poison Fingerprint = 0

func (r *region) spread(from int, s []Suspicion) {
	for to := range r.instances {
		if to != from && (!r.lossy || r.rng.IntN(4) > 0) {
			r.pending = append(r.pending, delivery{to, s})
		}
	}
}

func (r *region) deliver() {
	r.rng.Shuffle(len(r.pending), func(i, j int) { r.pending[i], r.pending[j] = r.pending[j], r.pending[i] })
	for _, d := range r.pending {
		r.instances[d.to].Merge(r.now, d.suspicions)
	}
	r.pending = nil
}

// start runs a request unless it is refused. A suspect runs beside no other suspect.
func (r *region) start(f Fingerprint) bool {
	i := r.rng.IntN(len(r.instances))
	v := r.instances[i].Check(r.now, f)
	if v == Refuse {
		return false
	}
	x := task{f: f, instance: i, upstream: fmt.Sprint("u", r.rng.IntN(4)), isolated: v == Suspect}
	if x.isolated && slices.ContainsFunc(r.running, func(y task) bool { return y.isolated && y.upstream == x.upstream }) {
		return true // waits
	}
	r.instances[i].Started(r.now, f, fmt.Sprint("team", f%3), x.upstream)
	r.running = append(r.running, x)
	if f == poison {
		r.poisonRuns++
		r.crash(x.upstream)
	}
	return true
}

// crash ends everything at the upstream; each instance with a request there observes it.
func (r *region) crash(upstream string) {
	c := CrashID{upstream, fmt.Sprint(r.restarts[upstream])}
	r.restarts[upstream]++
	observers := make(map[int]bool)
	r.running = slices.DeleteFunc(r.running, func(x task) bool {
		if x.upstream == upstream {
			observers[x.instance] = true
			if r.beside[x.f] == nil {
				r.beside[x.f] = make(map[CrashID]bool)
			}
			r.beside[x.f][c] = true
		}
		return x.upstream == upstream
	})
	for i := range r.instances {
		if observers[i] {
			r.spread(i, r.instances[i].Crashed(r.now, c))
		}
	}
}

func (r *region) finish(i int) {
	x := r.running[i]
	r.running = slices.Delete(r.running, i, i+1)
	r.spread(x.instance, r.instances[x.instance].Finished(r.now, x.f, x.upstream))
}

func (r *region) check(t *rapid.T) {
	for f, crashes := range r.beside {
		for _, q := range r.instances {
			if v := q.Check(r.now, f); f != poison && v == Refuse && len(crashes) < convictingCrashes {
				t.Fatalf("request %d is refused and ran beside %d crash", f, len(crashes))
			}
		}
	}
}

// serveSuspects runs each innocent suspect once: completing clears it everywhere.
func (r *region) serveSuspects(t *rapid.T) {
	for f := Fingerprint(1); f <= 12; f++ {
		q := r.instances[0]
		if r.lossy || q.Check(r.now, f) != Suspect {
			continue
		}
		q.Started(r.now, f, "team", "u0")
		r.spread(0, q.Finished(r.now, f, "u0"))
		r.deliver()
		for _, q := range r.instances {
			if v := q.Check(r.now, f); v != Clear {
				t.Fatalf("request %d is %s after it completed", f, v)
			}
		}
	}
}

func newRegion(t *rapid.T) *region {
	r := &region{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), lossy: rapid.Bool().Draw(t, "lossy"),
		restarts: make(map[string]int), beside: make(map[Fingerprint]map[CrashID]bool)}
	for range rapid.IntRange(1, 5).Draw(t, "instances") {
		r.instances = append(r.instances, New(Options{}))
	}
	return r
}

// TestResentRequestCrashesAtMostTwoUpstreams guards against a resent request that takes
// down upstream after upstream, against refusing a request that ran beside fewer than two
// crashes, and against suspects that are never served again.
func TestResentRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		r.start(poison)
		t.Repeat(map[string]func(*rapid.T){
			"innocent": func(*rapid.T) { r.start(Fingerprint(1 + r.rng.IntN(12))) },
			"finish": func(*rapid.T) {
				if len(r.running) > 0 {
					r.finish(r.rng.IntN(len(r.running)))
				}
			},
			"deliver": func(*rapid.T) { r.deliver() },
			"resend": func(*rapid.T) {
				r.deliver()
				r.start(poison)
			},
			"other crash": func(*rapid.T) { r.crash(fmt.Sprint("u", r.rng.IntN(4))) },
			"pass time":   func(*rapid.T) { r.now += time.Second },
			"": func(t *rapid.T) {
				r.check(t)
				if !r.lossy && r.poisonRuns > convictingCrashes {
					t.Fatalf("the request took down %d upstreams", r.poisonRuns)
				}
			},
		})
		r.deliver()
		r.serveSuspects(t)
		r.now += DefaultLifetime
		for f := range Fingerprint(13) {
			for _, q := range r.instances {
				if v := q.Check(r.now, f); v != Clear {
					t.Fatalf("request %d is %s after the lifetime of the suspicion", f, v)
				}
			}
		}
	})
}

// TestConvictionStaysUntilExpiry guards against a late completion of a copy that clears a
// request with two crashes, and against copies that keep running after the second crash.
func TestConvictionStaysUntilExpiry(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	for i := range 5 {
		a.Started(0, poison, "team", fmt.Sprint("u", i))
	}
	var sent []Suspicion
	for i := range 4 { // copies that ran at the same moment
		at := time.Duration(i) * time.Second
		s := a.Crashed(at, CrashID{fmt.Sprint("u", i), "1"})
		b.Merge(at, s)
		sent = append(sent, s...)
	}
	b.Merge(time.Minute, sent) // delayed duplicates do not prolong the suspicion
	if s := a.Finished(4*time.Second, poison, "u4"); s != nil {
		t.Errorf("a completion cleared a convicted request: %v", s)
	}
	for _, q := range []*Quarantine{a, b} {
		if v := q.Check(DefaultLifetime+2*time.Second, poison); v != Refuse {
			t.Errorf("before expiry: %s, want refuse", v)
		}
		if v := q.Check(DefaultLifetime+3*time.Second, poison); v != Clear {
			t.Errorf("after expiry: %s, want clear", v)
		}
	}
}

// TestTeamCannotEvictOthers guards against a team whose many suspects push out the
// entries of other teams, and against memory that grows with the number of suspects.
func TestTeamCannotEvictOthers(t *testing.T) {
	q := New(Options{})
	rng := rand.New(rand.NewPCG(3, 4))
	crashes := []CrashID{{"u1", "1"}, {"u2", "1"}}
	var victims []Fingerprint
	for i := range 200 {
		f := Fingerprint(rng.Uint64())
		victims = append(victims, f)
		q.Merge(0, []Suspicion{{Fingerprint: f, Team: fmt.Sprint("team", i%20), Crashes: crashes}})
	}
	for range 100_000 {
		q.Merge(0, []Suspicion{{Fingerprint: Fingerprint(rng.Uint64()), Team: "attacker", Crashes: crashes}})
	}
	for i := range 200 { // a full quarantine still takes the suspects of other teams
		f := Fingerprint(rng.Uint64())
		victims = append(victims, f)
		q.Merge(0, []Suspicion{{Fingerprint: f, Team: fmt.Sprint("team", i%20), Crashes: crashes}})
	}
	if n := q.Len(); n != DefaultEntries {
		t.Errorf("%d entries, want %d", n, DefaultEntries)
	}
	for _, f := range victims {
		if v := q.Check(0, f); v != Refuse {
			t.Fatalf("entry of another team was lost: %s", v)
		}
	}
}

// TestCrashesOfOneSuspectAreBounded guards against memory that grows with the crashes of
// one request and against oversized names from a peer.
func TestCrashesOfOneSuspectAreBounded(t *testing.T) {
	q := New(Options{})
	for i := range 100 {
		q.Merge(0, []Suspicion{{Crashes: []CrashID{{"u", fmt.Sprint(i)}}}})
	}
	if s := q.Snapshot(0); len(s) != 1 || len(s[0].Crashes) != maxCrashes {
		t.Errorf("snapshot %v, want %d crashes", s, maxCrashes)
	}
	q.Merge(0, []Suspicion{{Fingerprint: 1, Crashes: []CrashID{{string(make([]byte, 1000)), "1"}}}})
	if n := q.Len(); n != 1 {
		t.Errorf("%d entries after an oversized name, want 1", n)
	}
}
