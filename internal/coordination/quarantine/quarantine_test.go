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

// TestMergeIsAUnion guards against results that depend on the order, grouping or
// repetition of suspicions, and against a delayed clearing that hides a later crash.
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
		clearedByCrash := make(map[Fingerprint]map[CrashID]bool) // whether each crash is cleared
		for _, message := range messages {
			for _, c := range message.Crashes {
				if clearedByCrash[message.Fingerprint] == nil {
					clearedByCrash[message.Fingerprint] = make(map[CrashID]bool)
				}
				clearedByCrash[message.Fingerprint][c] = clearedByCrash[message.Fingerprint][c] || message.Cleared
			}
		}
		const now = time.Hour
		inOrder, shuffled, forwarded := New(Options{}), New(Options{}), New(Options{})
		inOrder.Merge(now, messages)
		repeated := rapid.Permutation(slices.Concat(messages, messages[:len(messages)/2])).Draw(t, "repeated")
		for _, message := range repeated {
			shuffled.Merge(now, []Suspicion{message})
		}
		forwarded.Merge(now, shuffled.Snapshot(now))
		// Delayed duplicates of the crash reports do not undo the clearings in the snapshot.
		forwarded.Merge(now, slices.DeleteFunc(slices.Clone(messages), func(message Suspicion) bool { return message.Cleared }))
		for f := range Fingerprint(4) {
			open := 0
			for _, cleared := range clearedByCrash[f] {
				if !cleared {
					open++
				}
			}
			want := []Verdict{Clear, Suspect, Refuse}[min(open, refusalThreshold)]
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

// ages returns the ages of all suspicions in the order of their fingerprints.
func (q *Quarantine) ages(now time.Duration) []time.Duration {
	snapshot := q.Snapshot(now)
	slices.SortFunc(snapshot, func(a, b Suspicion) int { return int(a.Fingerprint) - int(b.Fingerprint) })
	var ages []time.Duration
	for _, suspicion := range snapshot {
		ages = append(ages, suspicion.Age)
	}
	return ages
}

// regionModel simulates the instances of a region, which exchange suspicions and share
// upstreams.
type regionModel struct {
	rng              *rand.Rand
	now              time.Duration
	instances        []*Quarantine
	incarnations     map[string]int // current incarnation of each upstream
	pending          []delivery
	lossy            bool
	running          []modelRequest
	crashesByRequest map[Fingerprint]map[CrashID]bool // crashes of upstreams where a request was running
	poisonRuns       int
}

type delivery struct {
	to         int
	suspicions []Suspicion
}

type modelRequest struct {
	fingerprint Fingerprint
	instance    int
	upstream    string
	isolated    bool
}

const poisonRequest Fingerprint = 0

func (r *regionModel) broadcast(from int, suspicions []Suspicion) {
	for to := range r.instances {
		if to != from && (!r.lossy || r.rng.IntN(4) > 0) {
			r.pending = append(r.pending, delivery{to, suspicions})
		}
	}
}

func (r *regionModel) deliverPending() {
	for len(r.pending) > 0 {
		pending := r.pending
		r.pending = nil
		r.rng.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
		for _, d := range pending {
			if clearings := r.instances[d.to].Merge(r.now, d.suspicions); len(clearings) > 0 {
				r.broadcast(d.to, clearings)
			}
		}
	}
}

// startRequest runs a request at a random upstream and reports false if it is refused. A
// suspect does not start at an upstream that runs another suspect.
func (r *regionModel) startRequest(f Fingerprint) bool {
	i := r.rng.IntN(len(r.instances))
	v := r.instances[i].Check(r.now, f)
	if v == Refuse {
		return false
	}
	request := modelRequest{fingerprint: f, instance: i, upstream: fmt.Sprint("u", r.rng.IntN(4)), isolated: v == Suspect}
	if request.isolated && slices.ContainsFunc(r.running, func(other modelRequest) bool { return other.isolated && other.upstream == request.upstream }) {
		return true // stays queued
	}
	r.instances[i].Started(r.now, f, fmt.Sprint("team", f%3), request.upstream)
	r.running = append(r.running, request)
	if f == poisonRequest {
		r.poisonRuns++
		r.crashUpstream(request.upstream)
	}
	return true
}

// crashUpstream ends all requests at the upstream; each instance with a request there
// observes the crash.
func (r *regionModel) crashUpstream(upstream string) {
	c := CrashID{upstream, fmt.Sprint(r.incarnations[upstream])}
	r.incarnations[upstream]++
	observers := make(map[int]bool)
	r.running = slices.DeleteFunc(r.running, func(request modelRequest) bool {
		if request.upstream == upstream {
			observers[request.instance] = true
			if r.crashesByRequest[request.fingerprint] == nil {
				r.crashesByRequest[request.fingerprint] = make(map[CrashID]bool)
			}
			r.crashesByRequest[request.fingerprint][c] = true
		}
		return request.upstream == upstream
	})
	for i := range r.instances {
		if observers[i] {
			r.broadcast(i, r.instances[i].UpstreamCrashed(r.now, c))
		}
	}
}

func (r *regionModel) completeRequest(i int) {
	request := r.running[i]
	r.running = slices.Delete(r.running, i, i+1)
	r.broadcast(request.instance, r.instances[request.instance].Completed(r.now, request.fingerprint, request.upstream))
}

func (r *regionModel) checkRefusals(t *rapid.T) {
	for f, crashes := range r.crashesByRequest {
		for _, q := range r.instances {
			if v := q.Check(r.now, f); f != poisonRequest && v == Refuse && len(crashes) < refusalThreshold {
				t.Fatalf("request %d is refused after only %d crashes", f, len(crashes))
			}
		}
	}
}

// completeSuspects completes each harmless suspect once and checks that this clears it at
// all instances, unless the model loses messages.
func (r *regionModel) completeSuspects(t *rapid.T) {
	for f := Fingerprint(1); f <= 12; f++ {
		q := r.instances[0]
		if r.lossy || q.Check(r.now, f) != Suspect {
			continue
		}
		q.Started(r.now, f, "team", "u0")
		r.broadcast(0, q.Completed(r.now, f, "u0"))
		r.deliverPending()
		for _, q := range r.instances {
			if v := q.Check(r.now, f); v != Clear {
				t.Fatalf("request %d is %s after it completed", f, v)
			}
		}
	}
}

func newRegionModel(t *rapid.T) *regionModel {
	r := &regionModel{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), lossy: rapid.Bool().Draw(t, "lossy"),
		incarnations: make(map[string]int), crashesByRequest: make(map[Fingerprint]map[CrashID]bool)}
	for range rapid.IntRange(1, 5).Draw(t, "instances") {
		r.instances = append(r.instances, New(Options{}))
	}
	return r
}

// TestResentRequestCrashesAtMostTwoUpstreams guards against a resent request that crashes
// more than two upstreams, against refusing a request that was running at fewer than two
// crashes, and against suspects that are never cleared or never expire.
func TestResentRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegionModel(t)
		r.startRequest(poisonRequest)
		t.Repeat(map[string]func(*rapid.T){
			"harmless request": func(*rapid.T) { r.startRequest(Fingerprint(1 + r.rng.IntN(12))) },
			"finish": func(*rapid.T) {
				if len(r.running) > 0 {
					r.completeRequest(r.rng.IntN(len(r.running)))
				}
			},
			"deliver": func(*rapid.T) { r.deliverPending() },
			"resend": func(*rapid.T) {
				r.deliverPending()
				r.startRequest(poisonRequest)
			},
			"other crash": func(*rapid.T) { r.crashUpstream(fmt.Sprint("u", r.rng.IntN(4))) },
			"pass time":   func(*rapid.T) { r.now += time.Second },
			"": func(t *rapid.T) {
				r.checkRefusals(t)
				if !r.lossy && r.poisonRuns > refusalThreshold {
					t.Fatalf("the request crashed %d upstreams", r.poisonRuns)
				}
			},
		})
		r.deliverPending()
		r.completeSuspects(t)
		r.now += DefaultLifetime
		for f := range Fingerprint(13) {
			for _, q := range r.instances {
				if v := q.Check(r.now, f); v != Clear {
					t.Fatalf("request %d is %s after its entry expired", f, v)
				}
			}
		}
	})
}

// TestRefusalLastsUntilExpiry guards against a request with two crashes that is cleared
// when a copy that was still running completes, and against an expiry that ignores the
// crashes of copies that kept running after the second crash or that duplicate reports
// extend.
func TestRefusalLastsUntilExpiry(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	for i := range 5 {
		a.Started(0, poisonRequest, "team", fmt.Sprint("u", i))
	}
	var sent []Suspicion
	for i := range 4 { // copies that were running concurrently
		at := time.Duration(i) * time.Second
		suspicions := a.UpstreamCrashed(at, CrashID{fmt.Sprint("u", i), "1"})
		b.Merge(at, suspicions)
		sent = append(sent, suspicions...)
	}
	b.Merge(time.Minute, sent) // delayed duplicates do not extend the lifetime
	if suspicions := a.Completed(4*time.Second, poisonRequest, "u4"); suspicions != nil {
		t.Errorf("a completion cleared a refused request: %v", suspicions)
	}
	for _, q := range []*Quarantine{a, b} {
		if v := q.Check(DefaultLifetime+2*time.Second, poisonRequest); v != Refuse {
			t.Errorf("before expiry: %s, want refuse", v)
		}
		if v := q.Check(DefaultLifetime+3*time.Second, poisonRequest); v != Clear {
			t.Errorf("after expiry: %s, want clear", v)
		}
	}
}

// TestTeamCannotEvictOthers guards against a team whose many suspects evict the entries of
// other teams, and against memory that grows with the number of suspects.
func TestTeamCannotEvictOthers(t *testing.T) {
	q := New(Options{})
	rng := rand.New(rand.NewPCG(3, 4))
	crashes := []CrashID{{"u1", "1"}, {"u2", "1"}}
	var otherTeamRequests []Fingerprint
	for i := range 200 {
		f := Fingerprint(rng.Uint64())
		otherTeamRequests = append(otherTeamRequests, f)
		q.Merge(0, []Suspicion{{Fingerprint: f, Team: fmt.Sprint("team", i%20), Crashes: crashes}})
	}
	for range 100_000 {
		q.Merge(0, []Suspicion{{Fingerprint: Fingerprint(rng.Uint64()), Team: "attacker", Crashes: crashes}})
	}
	for i := range 200 { // a full quarantine still accepts suspects of other teams
		f := Fingerprint(rng.Uint64())
		otherTeamRequests = append(otherTeamRequests, f)
		q.Merge(0, []Suspicion{{Fingerprint: f, Team: fmt.Sprint("team", i%20), Crashes: crashes}})
	}
	if n := q.Len(); n != DefaultMaxEntries {
		t.Errorf("%d entries, want %d", n, DefaultMaxEntries)
	}
	for _, f := range otherTeamRequests {
		if v := q.Check(0, f); v != Refuse {
			t.Fatalf("entry of another team was evicted: its request is %s", v)
		}
	}
}

// TestCrashesOfOneSuspectAreBounded guards against memory that grows with the number of
// crashes of one request, and against oversized names from a peer.
func TestCrashesOfOneSuspectAreBounded(t *testing.T) {
	q := New(Options{})
	for i := range 100 {
		q.Merge(0, []Suspicion{{Crashes: []CrashID{{"u", fmt.Sprint(i)}}}})
	}
	if s := q.Snapshot(0); len(s) != 1 || len(s[0].Crashes) != maxCrashesPerEntry {
		t.Errorf("snapshot %v, want %d crashes", s, maxCrashesPerEntry)
	}
	q.Merge(0, []Suspicion{{Fingerprint: 1, Crashes: []CrashID{{string(make([]byte, 1000)), "1"}}}})
	if n := q.Len(); n != 1 {
		t.Errorf("%d entries after an oversized name, want 1", n)
	}
}

// Guards against exchanges between instances that grow with the suspects of a crash, and against
// instances that exchange what both already know.
func TestRefusedLeavesSuspectsOut(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	crash := func(upstream string) CrashID { return CrashID{Upstream: upstream, Incarnation: "1"} }
	refused := Suspicion{Fingerprint: 1, Team: "x", Crashes: []CrashID{crash("i-a"), crash("i-b")}}
	cleared := Suspicion{Fingerprint: 2, Team: "x", Crashes: []CrashID{crash("i-a"), crash("i-b")}, Cleared: true}
	a.Merge(0, []Suspicion{refused, cleared, {Fingerprint: 3, Team: "x", Crashes: []CrashID{crash("i-a")}}})
	if got := a.Refused(time.Second, 10); len(got) != 1 || got[0].Fingerprint != 1 || len(got[0].Crashes) != 2 {
		t.Fatalf("%+v", got)
	}
	if a.RefusedDigest(0) == b.RefusedDigest(0) {
		t.Error("the digest does not show that one instance refuses a request")
	}
	b.Merge(time.Second, a.Refused(time.Second, 10))
	if b.Check(time.Second, 1) != Refuse || a.RefusedDigest(time.Second) != b.RefusedDigest(time.Second) {
		t.Error("the instances differ after the exchange")
	}
	if got := a.Refused(DefaultLifetime, 10); len(got) != 0 || a.RefusedDigest(DefaultLifetime) != 0 {
		t.Errorf("refused after the lifetime: %+v", got)
	}
}

// Guards against abandoned runs that are blamed after their lifetime, twice for one crash, or
// kept without limit.
func TestAbandonedRunIsSuspectUntilItExpires(t *testing.T) {
	q := New(Options{})
	abandon := func(at time.Duration, f Fingerprint) {
		q.Started(at, f, "team", "u")
		q.Abandoned(at, f, "u")
	}
	abandon(0, 1)
	abandon(0, 1) // two copies
	abandon(5*time.Second, 2)
	if s := q.UpstreamCrashed(abandonedRunLifetime, CrashID{"u", "1"}); len(s) != 1 || s[0].Fingerprint != 2 {
		t.Errorf("suspects %v, want only request 2: the runs of request 1 have expired", s)
	}
	if s := q.UpstreamCrashed(abandonedRunLifetime, CrashID{"u", "2"}); len(s) != 0 {
		t.Errorf("suspects %v of the next crash, want none", s)
	}
	for i := range 2 * maxAbandonedRuns {
		abandon(20*time.Second, Fingerprint(i*shardCount))
	}
	if s := q.UpstreamCrashed(20*time.Second, CrashID{"u", "3"}); len(s) != maxAbandonedRuns {
		t.Errorf("%d suspects, want the last %d of one shard", len(s), maxAbandonedRuns)
	}
	for i := range q.shards {
		if s := &q.shards[i]; len(s.running) != 0 || len(s.abandoned) != 0 {
			t.Errorf("shard %d still holds %d upstreams and %d runs", i, len(s.running), len(s.abandoned))
		}
	}
}
