package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// allowedRetries is how often users let a request reach upstreams after retryWindow has passed since its third crash.
	allowedRetries = 3
	retryWindow    = 4 * time.Second
	// allowedMemories is the number of independent memories of a request up to which that bound holds.
	allowedMemories = 3
)

// budgetModel simulates instances that get the same crashing request again and again, one copy after the other.
type budgetModel struct {
	rng       *rand.Rand
	now       time.Duration
	instances []*Quarantine
	groups    int // instance i reaches the instances with the same i % groups
	arrivals  []time.Duration
}

func (m *budgetModel) restart() {
	for i := range m.instances {
		m.instances[i] = New(Options{})
	}
}

// resend sends a copy through a random instance of a group and reports whether it reached an upstream. The suspicions
// arrive before the next copy.
func (m *budgetModel) resend(group int) bool {
	m.now += time.Millisecond
	i := group + m.groups*m.rng.IntN((len(m.instances)-group+m.groups-1)/m.groups)
	if m.instances[i].Check(m.now, poisonRequest) == Refuse {
		return false
	}
	m.arrivals = append(m.arrivals, m.now)
	upstream := fmt.Sprint("u", len(m.arrivals))
	m.instances[i].Started(m.now, poisonRequest, "team", upstream)
	reports := m.instances[i].UpstreamCrashed(m.now, CrashID{upstream, "1"})
	for to := group; to < len(m.instances); to += m.groups {
		if to != i {
			m.instances[to].Merge(m.now, reports)
		}
	}
	if len(m.arrivals) == 3 {
		m.now += retryWindow
	}
	return true
}

// refusesAll reports whether no copy reaches an upstream while copies come for some time through all groups.
func (m *budgetModel) refusesAll(span time.Duration, groups int) bool {
	const rounds = 20
	refused := true
	for range rounds {
		m.now += span / rounds
		for group := range groups {
			refused = !m.resend(group) && refused
		}
	}
	return refused
}

// reconnect lets all instances reach each other. They exchange what they refuse.
func (m *budgetModel) reconnect() {
	for _, from := range m.instances[:m.groups] {
		refused := from.Refused(m.now, 10)
		for _, to := range m.instances {
			to.Merge(m.now, refused)
		}
	}
	m.groups = 1
}

// lateArrivals returns how many copies reached upstreams after the retry window since the third crash.
func (m *budgetModel) lateArrivals() int {
	late := 0
	for n, at := range m.arrivals {
		if n >= 3 && at > m.arrivals[2]+retryWindow {
			late++
		}
	}
	return late
}

// compositions returns all sequences of positive numbers with the sum n.
func compositions(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for first := 1; first <= n; first++ {
		for _, rest := range compositions(n - first) {
			all = append(all, append([]int{first}, rest...))
		}
	}
	return all
}

// Guards against a change that lets a request that crashes upstreams reach them more often after its third crash than
// users allow: among instances that are cut off from each other, and after all have started again or forgotten it.
func TestRetriesAfterTheThirdCrashAreBounded(t *testing.T) {
	for _, instances := range []int{8, 60, 195} {
		for memories := 1; memories <= allowedMemories+1; memories++ {
			for _, groupsByEpoch := range compositions(memories) {
				for _, restarts := range []bool{false, true} { // otherwise the entries expire
					checkRetries(t, instances, groupsByEpoch, restarts)
				}
			}
		}
		checkRetries(t, instances, []int{instances}, false) // each instance alone
	}
}

// checkRetries plays epochs, at the beginning of which no instance knows of a crash and the instances are cut into
// groups. Each group of each epoch is a memory of its own.
func checkRetries(t *testing.T, instances int, groupsByEpoch []int, restarts bool) {
	t.Helper()
	m := &budgetModel{rng: rand.New(rand.NewPCG(uint64(instances), uint64(len(groupsByEpoch)))), instances: make([]*Quarantine, instances)}
	m.restart()
	memories := 0
	for epoch, groups := range groupsByEpoch {
		if epoch > 0 {
			if restarts {
				m.restart()
			} else {
				m.now += DefaultLifetime
			}
		}
		memories += groups
		m.groups = groups
		for range refusalThreshold + 1 {
			for _, group := range m.rng.Perm(groups) {
				m.resend(group)
			}
		}
		refused := m.refusesAll(DefaultLifetime*2/5, groups)
		m.reconnect()
		if !m.refusesAll(DefaultLifetime*2/5, 1) || !refused {
			t.Errorf("%d instances, groups %v, restarts %t: a copy reached an upstream after two crashes in each group", instances, groupsByEpoch, restarts)
		}
	}
	late := m.lateArrivals()
	if want := max(refusalThreshold*memories-3, 0); late != want {
		t.Errorf("%d instances, groups %v, restarts %t: %d retries after the third crash, want %d", instances, groupsByEpoch, restarts, late, want)
	}
	if memories <= allowedMemories && late > allowedRetries {
		t.Errorf("%d instances, groups %v, restarts %t: %d retries after the third crash, allowed are %d", instances, groupsByEpoch, restarts, late, allowedRetries)
	}
}
