package membership

import (
	"net/netip"
	"time"
)

// valid checks the fields on which the machine relies.
func (m *Machine) valid(msg *Message) bool {
	if msg.Kind < Ping || msg.Kind > SyncReply || len(msg.Updates) > MaxUpdates ||
		msg.From.Incarnation.Process == m.self.Incarnation.Process || !validMember(&msg.From) ||
		msg.From.State != Alive && msg.From.State != Leaving {
		return false
	}
	for i := range msg.Updates {
		if !validMember(&msg.Updates[i]) {
			return false
		}
	}
	return true
}

func validMember(c *Member) bool {
	return c.Incarnation.Process != Process{} && c.Name != "" && len(c.Name) <= MaxName &&
		c.Domain != "" && len(c.Domain) <= MaxName && len(c.Pressure) <= MaxPressure &&
		c.UDP.IsValid() && c.State >= Alive && c.State <= Dead && c.PressureAge >= 0
}

func (m *Machine) handle(now time.Duration, from netip.AddrPort, msg *Message) {
	c := msg.From
	p := c.Incarnation.Process
	m.apply(now, c, from)
	s := m.members[p]
	if s != nil && s.State == Dead {
		// The sender does not know that it was declared dead: its claims about others
		// come from a view that failed. What it says about this process is heard, or
		// two processes that hold each other dead could never meet again.
		m.stats.FromDead++
		for _, u := range msg.Updates {
			if u.Incarnation.Process == m.self.Incarnation.Process {
				m.refute(now, u)
			}
		}
	} else if s != nil {
		m.values(now, s, c, true)
		m.merge(now, from, msg)
		m.compare(now, s, msg)
	}
	switch msg.Kind {
	case Ping:
		m.handlePing(now, from, msg)
	case PingReq:
		m.handlePingReq(now, from, msg)
	case Ack:
		m.handleAck(now, s, msg)
	case SyncRequest:
		m.handleSyncRequest(now, from, msg)
	case SyncReply:
		m.handleSyncReply(now, s, msg)
	}
}

func (m *Machine) merge(now time.Duration, from netip.AddrPort, msg *Message) {
	for i := range msg.Updates {
		c := &msg.Updates[i]
		p := c.Incarnation.Process
		if p == msg.From.Incarnation.Process {
			continue
		}
		m.apply(now, *c, from)
		x := m.members[p]
		if x == nil || x == m.self {
			continue
		}
		if x.State != Dead {
			m.values(now, x, *c, false)
		}
		if msg.Kind == SyncReply && overrides(x.Incarnation.Refutation, x.State, c.Incarnation.Refutation, c.State) {
			m.enqueue(x) // the sender has missed this claim
		}
	}
}
