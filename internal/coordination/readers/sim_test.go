package readers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

const (
	simStep       = 5 * time.Millisecond
	simLength     = 40 * time.Second
	simPause      = 100 * time.Millisecond // after a watch that returned changes
	simCallTime   = 10 * time.Millisecond
	simStoreLimit = 500 * time.Millisecond // added to the wait of a watch
	simBackoff    = 400 * time.Millisecond
	// simDetection is how long after its end an instance is among the live members of the others.
	simDetection = 4 * time.Second
)

// simInstance is an instance whose schedule runs on the time of the simulation.
type simInstance struct {
	member   membership.Member
	schedule *Schedule
	position int // number of changes seen

	// faults, each until a time
	down, frozen, storeCut, peersCut time.Duration
	troubledUntil                    time.Duration

	question Question
	busy     bool
	askedAt  time.Duration
	resumeAt time.Duration // next question
	paused   time.Duration
}

func (in *simInstance) runs(now time.Duration) bool { return now >= in.down && now >= in.frozen }

// simulation is a fleet whose readers are killed, frozen and cut off.
type simulation struct {
	rng       *rand.Rand
	instances []*simInstance
	byProcess map[membership.Process]*simInstance
	changes   []time.Duration
	calls     int
	live      int // sum of the numbers of the members in the views
}

func newSimulation(seed uint64, domains, perDomain int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 39)), byProcess: map[membership.Process]*simInstance{}}
	for _, m := range testMembers(domains, perDomain) {
		in := &simInstance{member: m, schedule: NewSchedule(testBound)}
		in.schedule.Confirmed(0)
		s.instances = append(s.instances, in)
		s.byProcess[m.Incarnation.Process] = in
	}
	return s
}

// updateViews gives all instances the view of the live members that they have after the detection of failures.
func (s *simulation) updateViews(now time.Duration) {
	byDomain := map[string][]membership.Member{}
	live := 0
	for i, in := range s.instances {
		if now >= in.down || now < in.down-simDetection {
			live += i + 1
		}
	}
	if live == s.live {
		return
	}
	s.live = live
	for _, in := range s.instances {
		if now >= in.down || now < in.down-simDetection {
			byDomain[in.member.FailureDomain] = append(byDomain[in.member.FailureDomain], in.member)
		}
	}
	for _, in := range s.instances {
		in.schedule.SetMembers(in.member, byDomain[in.member.FailureDomain], 2)
	}
}

// step advances one instance.
func (s *simulation) step(now time.Duration, in *simInstance) {
	if !in.runs(now) || now < in.resumeAt {
		return
	}
	if !in.busy {
		in.question, in.askedAt, in.busy = in.schedule.Next(now, in.paused), now, true
		in.paused = 0
		if in.question.Source == nil {
			s.calls++
		}
		return
	}
	if in.question.Source != nil {
		s.stepFollow(now, in, s.byProcess[in.question.Source.Incarnation.Process])
		return
	}
	elapsed := now - in.askedAt
	switch {
	case now < in.storeCut:
		if elapsed >= in.question.Wait+simStoreLimit {
			in.schedule.PlatformFailed(now)
			in.busy, in.resumeAt = false, now+simBackoff
		}
	case elapsed >= simCallTime && in.position < len(s.changes):
		in.schedule.PlatformAnswered()
		in.position = len(s.changes)
		in.schedule.Confirmed(now)
		in.busy, in.resumeAt, in.paused = false, now+simPause, simPause
	case elapsed >= in.question.Wait+simCallTime:
		in.schedule.Confirmed(now)
		in.busy = false
	}
}

// stepFollow advances a follower that has asked a reader.
func (s *simulation) stepFollow(now time.Duration, in, reader *simInstance) {
	elapsed := now - in.askedAt
	if !reader.runs(now) || now < reader.peersCut || now < in.peersCut {
		refused := now < reader.down && now >= reader.peersCut && now >= in.peersCut
		if refused || elapsed >= in.question.Timeout {
			in.schedule.Failed(now, reader.member.Incarnation.Process)
			in.busy = false
		}
		return
	}
	if elapsed < simCallTime || reader.position <= in.position && elapsed < in.question.Wait {
		return
	}
	in.busy = false
	age, _ := reader.schedule.Age(now)
	if age > in.schedule.UsefulAge() {
		in.schedule.Failed(now, reader.member.Incarnation.Process)
		return
	}
	in.position = max(in.position, reader.position)
	in.schedule.Confirmed(now - age)
}

// disturb draws a fault of a reader or of any instance.
func (s *simulation) disturb(now time.Duration) {
	in := s.instances[s.rng.IntN(len(s.instances))]
	if s.rng.IntN(4) > 0 { // mostly the readers
		members := make([]membership.Member, 0, len(s.instances))
		for _, other := range s.instances {
			members = append(members, other.member)
		}
		chosen := Choose(members, in.member.FailureDomain, 2)
		in = s.byProcess[chosen[s.rng.IntN(len(chosen))].Incarnation.Process]
	}
	until := now + time.Duration(500+s.rng.IntN(5000))*time.Millisecond
	switch s.rng.IntN(4) {
	case 0:
		in.down = max(in.down, until)
		in.busy = false
	case 1:
		in.frozen = max(in.frozen, until)
	case 2:
		in.storeCut = max(in.storeCut, until)
	case 3:
		in.peersCut = max(in.peersCut, until)
	}
	in.troubledUntil = max(in.troubledUntil, in.down, in.frozen, in.storeCut)
}

// run plays the day. It reports changes that an instance in order has not seen within the bound.
func (s *simulation) run(t *testing.T, disturbances bool) (callsPerSecond float64) {
	t.Helper()
	late, nextChange := 0, time.Duration(0)
	for now := time.Duration(0); now < simLength; now += simStep {
		if now >= nextChange {
			s.changes = append(s.changes, now)
			nextChange = now + time.Duration(s.rng.IntN(1500))*time.Millisecond
		}
		if disturbances && s.rng.IntN(60) == 0 {
			s.disturb(now)
		}
		if now%(200*time.Millisecond) == 0 {
			s.updateViews(now)
		}
		seen := 0
		for seen < len(s.changes) && s.changes[seen]+testBound <= now {
			seen++
		}
		for _, in := range s.instances {
			s.step(now, in)
			// An instance that had trouble of its own has the time to catch up.
			if now >= in.troubledUntil+2*testBound && in.position < seen {
				if late++; late <= 5 {
					age, _ := in.schedule.Age(now)
					t.Errorf("at %v %s has seen %d changes, %d are older than the bound; confirmation %v old", now, in.member.Name, in.position, seen, age)
				}
				in.troubledUntil = now
			}
		}
	}
	return float64(s.calls) / simLength.Seconds()
}

// Every change reaches every instance in order within the bound, whatever happens to the readers.
func TestChangesArriveWithinTheBound(t *testing.T) {
	for seed := range uint64(20) {
		newSimulation(seed, 4, 6).run(t, true)
	}
	newSimulation(100, 6, 33).run(t, true)
}

// The calls of the platform follow from the number of failure domains, not from that of instances.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	// A reader makes a call for each change, at most one in each pause, and one in each wait.
	const callsOfReader = 5.0
	for _, fleet := range []struct{ domains, perDomain int }{{4, 2}, {4, 15}, {6, 33}, {19, 164}} {
		t.Run(fmt.Sprintf("%dx%d", fleet.domains, fleet.perDomain), func(t *testing.T) {
			rate := newSimulation(1, fleet.domains, fleet.perDomain).run(t, false)
			if limit := callsOfReader * float64(2*fleet.domains); rate > limit {
				t.Errorf("%.0f calls a second, want at most %.0f", rate, limit)
			}
		})
	}
}
