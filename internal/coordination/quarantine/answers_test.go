package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const soundRequest Fingerprint = 5

// crashRequest records that an upstream crashes while it works on a copy of the request, and delivers the report to the
// peers and their clearings to all.
func crashRequest(now time.Duration, f Fingerprint, upstream string, observer *Quarantine, peers ...*Quarantine) {
	observer.Started(now, f, "team", upstream)
	reports := observer.UpstreamCrashed(now, CrashID{upstream, "1"})
	var clearings []Suspicion
	for _, peer := range peers {
		clearings = append(clearings, peer.Merge(now, reports)...)
	}
	for _, q := range append(peers, observer) {
		q.Merge(now, clearings)
	}
}

func answerRequest(now time.Duration, f Fingerprint, q *Quarantine) []Suspicion {
	q.Started(now, f, "team", "sound")
	return q.Completed(now, f, "sound")
}

// Guards against a request that is answered all the time and refused for 10 minutes after its copies ran at upstreams
// that crashed together.
func TestAnsweredRequestSurvivesTheCrashOfAFailureDomain(t *testing.T) {
	a, b, stranger := New(Options{}), New(Options{}), New(Options{})
	answerRequest(0, soundRequest, a)
	for n := range 3 * maxCrashesPerEntry {
		observer, peer := a, b
		if n%2 == 1 {
			observer, peer = b, a
		}
		crashRequest(5*time.Second+time.Duration(n)*time.Millisecond, soundRequest, fmt.Sprintf("u%02d", n), observer, peer, stranger)
	}
	now := 6 * time.Second
	for i, q := range []*Quarantine{a, b, stranger} {
		if v := q.Check(now, soundRequest); v != Suspect {
			t.Errorf("instance %d: %s, want %s", i, v, Suspect)
		}
	}
	clearings := answerRequest(now, soundRequest, b)
	for i, q := range []*Quarantine{a, b, stranger} {
		q.Merge(now, clearings)
		if v := q.Check(now, soundRequest); v != Clear {
			t.Errorf("instance %d after an answer: %s, want %s", i, v, Clear)
		}
	}
}

// Guards against an answer that protects a request that crashes upstreams beyond the first moment of crashes, or that
// was given too long ago.
func TestAnswerCoversOneMomentOfCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		crashes []time.Duration
		want    Verdict
	}{
		"one moment":                     {[]time.Duration{5000, 5000, 5900}, Suspect},
		"a crash after it":               {[]time.Duration{5000, 5600, 6200}, Refuse},
		"answered too long ago":          {[]time.Duration{10100, 10101}, Refuse},
		"a moment after the first":       {[]time.Duration{5000, 6500}, Refuse},
		"two moments of several":         {[]time.Duration{5000, 5001, 8000, 8001}, Refuse},
		"one after the other, at pauses": {[]time.Duration{5000, 5900, 6800}, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			for _, descending := range []bool{false, true} {
				q := New(Options{})
				answerRequest(0, soundRequest, q)
				for n, at := range test.crashes {
					if descending {
						n = len(test.crashes) - n
					}
					crashRequest(at*time.Millisecond, soundRequest, fmt.Sprint("u", n), q)
				}
				if v := q.Check(11*time.Second, soundRequest); v != test.want {
					t.Errorf("%s, want %s", v, test.want)
				}
			}
		})
	}
}

// Guards against crashes that look as if they had happened together because an instance has missed their reports.
func TestCrashesHeardTogetherAreNotOneMoment(t *testing.T) {
	observer, peer := New(Options{}), New(Options{})
	answerRequest(0, soundRequest, peer)
	crashRequest(time.Second, soundRequest, "u1", observer)
	crashRequest(5*time.Second, soundRequest, "u2", observer)
	if clearings := peer.Merge(6*time.Second, observer.Refused(6*time.Second, 10)); len(clearings) > 0 {
		t.Errorf("cleared: %+v", clearings)
	}
	if v := peer.Check(6*time.Second, soundRequest); v != Refuse {
		t.Errorf("%s, want %s", v, Refuse)
	}
}

// Guards against an instance that goes on refusing a request because it has missed a clearing.
func TestMissedClearingIsRepeated(t *testing.T) {
	answering, stranger := New(Options{}), New(Options{})
	answerRequest(0, soundRequest, answering)
	for _, upstream := range []string{"u1", "u2"} {
		answering.Started(time.Second, soundRequest, "team", upstream)
		for _, s := range answering.UpstreamCrashed(time.Second, CrashID{upstream, "1"}) {
			if !s.Cleared { // the clearings get lost
				stranger.Merge(time.Second, []Suspicion{s})
			}
		}
	}
	const now = 4 * time.Second
	if v := stranger.Check(now, soundRequest); v != Refuse {
		t.Fatalf("without the clearing: %s, want %s", v, Refuse)
	}
	stranger.Merge(now, answering.Merge(now, stranger.Refused(now, 10)))
	if v := stranger.Check(now, soundRequest); v != Suspect {
		t.Errorf("after the exchange: %s, want %s", v, Suspect)
	}
}

// Guards against instances that disagree on a request after they have weighed different answers and crashes, against
// crashes of which none counts, and against an answer that spares a request that was never answered.
func TestInstancesAgreeOnAnsweredRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreamCount = 6
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		instances := make([]*Quarantine, rapid.IntRange(1, 4).Draw(t, "instances"))
		for i := range instances {
			instances[i] = New(Options{})
		}
		answered := false
		for i, q := range instances {
			if rapid.Bool().Draw(t, fmt.Sprint("answered at ", i)) {
				answered = true
				answerRequest(0, soundRequest, q)
			}
		}
		var times []time.Duration
		var pending []delivery
		deliver := func(now time.Duration) {
			for len(pending) > 0 {
				i := rng.IntN(len(pending))
				d := pending[i]
				pending = slices.Delete(pending, i, i+1)
				for _, clearing := range instances[d.to].Merge(now, d.suspicions) {
					for to := range instances {
						pending = append(pending, delivery{to, []Suspicion{clearing}})
					}
				}
			}
		}
		now := time.Second
		upstreams := rng.Perm(upstreamCount)
		for n := range rapid.IntRange(1, upstreamCount).Draw(t, "crashes") {
			now += time.Duration(rapid.SampledFrom([]int{0, 300, 1500}).Draw(t, "pause")) * time.Millisecond
			times = append(times, now)
			observers := rapid.IntRange(1, len(instances)).Draw(t, "observers")
			for _, i := range rng.Perm(len(instances))[:observers] {
				upstream := fmt.Sprint("u", upstreams[n])
				instances[i].Started(now, soundRequest, "team", upstream)
				for _, s := range instances[i].UpstreamCrashed(now, CrashID{upstream, "1"}) {
					for to := range instances {
						pending = append(pending, delivery{to, []Suspicion{s}}, delivery{to, []Suspicion{s}})
					}
				}
			}
			if rapid.Bool().Draw(t, "deliver") {
				deliver(now)
			}
		}
		deliver(now)
		first := instances[0].Check(now, soundRequest)
		for i, q := range instances {
			if v := q.Check(now, soundRequest); v != first {
				t.Fatalf("instance 0: %s, instance %d: %s", first, i, v)
			}
		}
		if first == Clear {
			t.Fatal("no crash counts")
		}
		if !answered && len(times) >= refusalThreshold && first != Refuse {
			t.Fatalf("never answered, %d crashes: %s", len(times), first)
		}
		if answered && times[len(times)-1]-times[0] <= sameMoment && first != Suspect {
			t.Fatalf("answered, one moment: %s", first)
		}
	})
}
