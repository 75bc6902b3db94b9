package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crash records that an upstream crashes while it works on prompts with these parts, one of them in
// each prompt.
func (q *Quarantine) crash(now time.Duration, id CrashID, parts ...Fingerprint) []Suspicion {
	for i, part := range parts {
		request := Fingerprint(1<<32 + int(now) + i) // no request comes twice
		q.Started(now, request, "team", id.Upstream)
		q.PartsStarted([]Fingerprint{part}, "team", id.Upstream)
	}
	return q.UpstreamCrashed(now, id)
}

func (q *Quarantine) refuses(now time.Duration, part Fingerprint) bool {
	_, refused := q.RefusedPart(now, []Fingerprint{part})
	return refused
}

// Guards against a part that crashes upstreams in one request after the other.
func TestPartIsRefusedAtTheThreshold(t *testing.T) {
	q := New(Options{})
	const deadly = Fingerprint(7)
	for n := range partRefusalThreshold {
		if q.refuses(time.Second, deadly) {
			t.Fatalf("refused after %d crashes", n)
		}
		q.crash(time.Second, CrashID{"u", fmt.Sprint(n)}, deadly)
	}
	if !q.refuses(time.Second, deadly) || !q.refuses(DefaultLifetime, deadly) {
		t.Errorf("not refused after %d crashes", partRefusalThreshold)
	}
	if q.refuses(time.Second+DefaultLifetime, deadly) {
		t.Error("refused beyond the lifetime")
	}
}

// Guards against parts that are refused although prompts with them are answered: before a crash, after
// it, or at another instance.
func TestPartsOfAnsweredPromptsAreNotRefused(t *testing.T) {
	const sound, deadly = Fingerprint(5), Fingerprint(7)
	q, peer := New(Options{}), New(Options{})
	for n := range 2 * partRefusalThreshold {
		now := time.Duration(n+1) * time.Second
		switch n % 3 {
		case 0: // answered before the crash
			q.PartsAnswered(now, []Fingerprint{sound}, "other")
			q.crash(now, CrashID{"u", fmt.Sprint(n)}, sound, deadly)
		case 1: // answered after it
			now += answeredPartLifetime
			q.crash(now, CrashID{"u", fmt.Sprint(n)}, sound, deadly)
			q.PartsAnswered(now, []Fingerprint{sound}, "other")
		case 2: // answered at the peer
			now += 2 * answeredPartLifetime
			peer.PartsAnswered(now, []Fingerprint{sound}, "other")
			clearings := peer.Merge(now, q.crash(now, CrashID{"u", fmt.Sprint(n)}, sound, deadly))
			if len(clearings) != 1 || clearings[0].Fingerprint != sound || !clearings[0].Cleared {
				t.Fatalf("clearings %+v", clearings)
			}
			q.Merge(now, clearings)
		}
		if q.refuses(now, sound) {
			t.Fatalf("the sound part is refused after crash %d", n)
		}
	}
	if now := time.Minute; !q.refuses(now, deadly) {
		t.Error("the deadly part is not refused")
	}
}

// Guards against sound parts that are refused for good when all upstreams of a service crash at the
// same time for another reason.
func TestPartInUseSurvivesTheCrashOfAllUpstreams(t *testing.T) {
	q := New(Options{})
	const shared = Fingerprint(5)
	q.PartsAnswered(0, []Fingerprint{shared}, "u0")
	for n := range 18 {
		q.crash(time.Second, CrashID{fmt.Sprint("u", n), "1"}, shared)
	}
	if q.refuses(time.Second, shared) {
		t.Error("the part is refused")
	}
}

// Guards against sound requests and parts that are refused because they ran beside a deadly part.
func TestCrashesThatAPartExplainsDoNotCountAgainstOthers(t *testing.T) {
	q := New(Options{})
	const deadly, beside, bystander = Fingerprint(7), Fingerprint(5), Fingerprint(3)
	for n := range partRefusalThreshold + 1 {
		now, id := time.Duration(n)*time.Second, CrashID{"u", fmt.Sprint(n)}
		q.Started(now, bystander, "team", "u")
		if n < partRefusalThreshold {
			q.PartsStarted([]Fingerprint{beside}, "team", "u")
		}
		q.crash(now, id, deadly)
	}
	now := time.Minute
	if !q.refuses(now, deadly) {
		t.Fatal("the deadly part is not refused")
	}
	if q.refuses(now, beside) {
		t.Error("a part that was at fewer crashes is refused")
	}
	if v := q.Check(now, bystander); v != Clear {
		t.Errorf("the bystander may run: %s", v)
	}
	if n := len(q.Refused(now, 10)); n != 1 {
		t.Errorf("%d refusals are told to other instances, want 1", n)
	}
}

// Guards against a refusal that depends on the order in which an instance hears of crashes and clearings,
// so that instances disagree.
func TestRefusedPartsDoNotDependOnTheOrderOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const partCount, now = 5, time.Second
		messages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Suspicion {
			return Suspicion{
				Fingerprint: Fingerprint(rapid.IntRange(1, partCount).Draw(t, "part")), Part: true, Team: "team",
				Crashes: []CrashID{{"u", rapid.StringMatching("[0-6]").Draw(t, "crash")}},
				Cleared: rapid.IntRange(0, 4).Draw(t, "cleared") == 0,
			}
		}), 1, 40).Draw(t, "messages")
		a, b := New(Options{}), New(Options{})
		a.Merge(now, messages)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		for _, i := range rng.Perm(len(messages)) {
			b.Merge(now, messages[i:i+1])
		}
		for part := Fingerprint(1); part <= partCount; part++ {
			if a.refuses(now, part) != b.refuses(now, part) {
				t.Fatalf("part %d: refused %v and %v", part, a.refuses(now, part), b.refuses(now, part))
			}
		}
	})
}
