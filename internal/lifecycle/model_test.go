package lifecycle

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 1, Checks: 1000, Steps: 80}) }

const modelTick = 5 * time.Millisecond

// modelRequest is a request of a caller. It is on its way until its first part has arrived.
type modelRequest struct {
	firstPartAt, wholeAt time.Time
	lasts, deadline      time.Duration
	stream               bool // its head is sent at once
	keepsTo              bool // the caller had been told that the connection is open, and for how long
}

// modelConn is a connection of a caller, at both ends.
type modelConn struct {
	Connection
	closedAt time.Time     // by the instance; zero: it is open
	sent     *modelRequest // on its way, or read in part
	running  *modelRequest // read whole, not answered yet
	endsAt   time.Time     // when its response ends
	last     bool          // its response announces the end of the connection

	// What the caller knows.
	latency   time.Duration
	ignores   bool // the time for which the connection may be used again
	used      bool
	reuseFrom time.Time // when the last response has arrived
	reuseBy   time.Time // zero: no time was announced
	told      bool      // the end of the connection was announced
}

// model draws signals, configurations, connections and requests, and carries out what the owner decides.
type model struct {
	t           *rapid.T
	now         time.Time
	options     Options
	idleTimeout time.Duration
	life        *Life
	conns       []*modelConn
	met         map[string]int // arrivals by state of the instance and phase of the connection
}

func (m *model) advance(d time.Duration) {
	for until := m.now.Add(d); m.now.Before(until) && m.life.State() != Stopped; {
		m.now = m.now.Add(modelTick)
		m.tick()
	}
}

func (m *model) tick() {
	for _, c := range m.conns {
		m.arrive(c)
		m.answer(c)
		m.closeWaiting(c)
	}
	open := 0
	for _, c := range m.conns {
		if c.closedAt.IsZero() {
			open++
		}
	}
	switch state, entered := m.life.Advance(m.now, open); {
	case !entered:
	case state == Ending:
		for _, c := range m.conns {
			if c.running != nil {
				c.endsAt = m.now
			}
		}
	case state == Stopped:
		m.checkStopped()
	}
}

// arrive lets the parts of a request arrive.
func (m *model) arrive(c *modelConn) {
	r := c.sent
	if r == nil || m.now.Before(r.firstPartAt) {
		return
	}
	if !c.closedAt.IsZero() {
		c.sent = nil
		if r.keepsTo && c.closedAt.Before(m.life.EndsAt()) {
			m.t.Fatalf("a request of a caller that keeps to what it was told arrives %s after the close, in state %s", m.now.Sub(c.closedAt), m.life.State())
		}
		return
	}
	if c.Phase() != Reading {
		m.met[fmt.Sprint(m.life.State(), "/", c.Phase())]++
		if r.keepsTo {
			m.met[fmt.Sprint(m.life.State(), "/announced")]++
		}
		if !c.Waiting() {
			return // pipelined: read after the response
		}
		c.RequestBegan()
	}
	if m.now.Before(r.wholeAt) {
		return
	}
	c.sent, c.running = nil, r
	m.met[fmt.Sprint(m.life.State(), "/whole")]++
	c.endsAt = m.now
	if m.life.Takes(m.now.Add(r.deadline)) {
		c.endsAt = m.now.Add(min(r.lasts, r.deadline))
		if m.life.State() >= Draining && c.endsAt.After(m.life.EndsAt()) {
			m.t.Fatalf("a request is taken that ends %s after the instance", c.endsAt.Sub(m.life.EndsAt()))
		}
	}
	if r.stream {
		m.announce(c)
	}
}

// announce lets the handler return: the head of the response is written.
func (m *model) announce(c *modelConn) {
	c.last = m.life.Stops()
	reuse := time.Duration(0)
	if !c.last {
		reuse = ReuseTimeout(m.options.DrainDelay, m.idleTimeout)
	}
	c.RequestHandled(reuse)
}

// answer ends a response that is due.
func (m *model) answer(c *modelConn) {
	if c.running == nil || m.now.Before(c.endsAt) {
		return
	}
	if c.Phase() != Answered {
		m.announce(c)
	}
	reuse := c.ReuseTimeout()
	c.running = nil
	c.reuseFrom, c.reuseBy, c.told = m.now.Add(c.latency), time.Time{}, c.last
	if reuse > 0 {
		c.reuseBy = c.reuseFrom.Add(reuse)
	}
	if c.last {
		c.closedAt = m.now
		return
	}
	c.Await(m.now)
	m.arrive(c)
}

func (m *model) closeWaiting(c *modelConn) {
	if !c.closedAt.IsZero() || !c.Waiting() {
		return
	}
	until := c.WaitUntil(m.idleTimeout)
	if m.life.State() >= Draining {
		until = c.WaitInStopUntil(m.life.EndsAt())
	}
	if !m.now.Before(until) {
		c.closedAt = m.now
	}
}

func (m *model) checkStopped() {
	if took := m.now.Sub(m.life.StoppingSince()); took > m.options.Grace {
		m.t.Fatalf("the stop took %s of %s", took, m.options.Grace)
	}
	for _, c := range m.conns {
		if c.running != nil {
			m.t.Fatal("the instance has stopped with a request that it has read and not answered")
		}
	}
}

// check holds after each action.
func (m *model) check(t *rapid.T) {
	if stops := m.life.Stops(); m.life.Ready() && stops {
		t.Fatal("ready in a stop")
	}
	if m.life.State() == Draining && !slices.ContainsFunc(m.conns, func(c *modelConn) bool { return c.closedAt.IsZero() }) {
		m.advance(modelTick)
		if m.life.State() == Draining {
			t.Fatal("nothing is in progress, and the instance goes on")
		}
	}
}

func (m *model) open(t *rapid.T) {
	if m.life.State() >= Draining {
		return
	}
	c := &modelConn{Connection: Accepted(m.now), latency: time.Duration(rapid.IntRange(1, 240).Draw(t, "latency ms")) * time.Millisecond,
		ignores: rapid.IntRange(0, 3).Draw(t, "ignores the announcement") == 0}
	m.conns = append(m.conns, c)
}

// send sends a request on a connection that its caller may use by what it knows.
func (m *model) send(t *rapid.T) {
	var free []*modelConn
	for _, c := range m.conns {
		closeSeen := !c.closedAt.IsZero() && !m.now.Before(c.closedAt.Add(c.latency))
		expired := !c.ignores && !c.reuseBy.IsZero() && m.now.After(c.reuseBy)
		if c.sent == nil && c.running == nil && !c.told && !closeSeen && !expired && !m.now.Before(c.reuseFrom) {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return
	}
	c := rapid.SampledFrom(free).Draw(t, "connection")
	r := &modelRequest{
		firstPartAt: m.now.Add(c.latency),
		lasts:       time.Duration(rapid.IntRange(0, 4000).Draw(t, "lasts ms")) * time.Millisecond,
		deadline:    time.Duration(rapid.SampledFrom([]int{100, 1500, 6000, 15000}).Draw(t, "deadline ms")) * time.Millisecond,
		stream:      rapid.Bool().Draw(t, "stream"),
		keepsTo:     c.used && !c.reuseBy.IsZero() && !m.now.After(c.reuseBy),
	}
	r.wholeAt = r.firstPartAt
	if rapid.IntRange(0, 3).Draw(t, "in two parts") == 0 {
		r.wholeAt = r.wholeAt.Add(time.Duration(rapid.IntRange(10, 900).Draw(t, "second part after ms")) * time.Millisecond)
	}
	c.sent, c.used = r, true
}

// Guards against interleavings of signals, configurations, connections and requests in which an instance closes a
// connection that its caller may use, takes what it can't finish, or does not end in time.
func TestLifeUnderInterleavings(t *testing.T) {
	met := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		drainDelay := time.Duration(rapid.SampledFrom([]int{0, 300, 1500, 2500, 4000}).Draw(t, "drain delay ms")) * time.Millisecond
		m := &model{t: t, now: testStart, met: met, idleTimeout: 15 * time.Second, options: Options{
			DrainDelay: drainDelay, Grace: drainDelay + time.Duration(rapid.IntRange(600, 6000).Draw(t, "rest of the grace period ms"))*time.Millisecond,
		}}
		m.life = New(m.options)
		t.Repeat(map[string]func(*rapid.T){
			"":      m.check,
			"serve": func(*rapid.T) { m.life.Serve() },
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "now") == 0 {
					m.life.Stop(m.now)
				}
			},
			"idle timeout": func(t *rapid.T) {
				m.idleTimeout = time.Duration(rapid.SampledFrom([]int{300, 1600, 3000, 15000}).Draw(t, "idle timeout ms")) * time.Millisecond
			},
			"open":       m.open,
			"send":       m.send,
			"send again": m.send,
			"pass time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ticks")) * modelTick)
			},
		})
		m.life.Stop(m.now)
		m.advance(m.options.Grace + time.Second)
		if s := m.life.State(); s != Stopped {
			t.Fatalf("state %s after the grace period", s)
		}
	})
	for _, s := range []State{Starting, Serving, Leaving, Draining} {
		for _, what := range []string{fmt.Sprint(Unused), fmt.Sprint(Idle), "announced", "whole"} {
			name := fmt.Sprint(s, "/", what)
			t.Logf("requests that arrived, %s: %d", name, met[name])
			if met[name] == 0 {
				t.Errorf("the case %s was not met", name)
			}
		}
	}
}
