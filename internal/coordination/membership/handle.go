package membership

import (
	"net/netip"
	"time"
)

// validMessage checks the fields that the machine relies on.
func (m *Machine) validMessage(msg *Message) bool {
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

func validMember(record *Member) bool {
	return record.Incarnation.Process != Process{} && record.Name != "" && len(record.Name) <= MaxNameBytes &&
		record.Domain != "" && len(record.Domain) <= MaxNameBytes &&
		len(record.FailureDomain) <= MaxNameBytes && len(record.Pressure) <= MaxPressureBytes &&
		record.UDP.IsValid() && record.State >= Alive && record.State <= Dead && record.PressureAge >= 0
}

func (m *Machine) handleMessage(now time.Duration, from netip.AddrPort, msg *Message) {
	record := msg.From
	p := record.Incarnation.Process
	m.applyUpdate(now, record, from)
	sender := m.members[p]
	if sender != nil && sender.State == Dead {
		// The sender does not know that it was declared dead, so its records of other
		// members come from an outdated view and are ignored. Its record of this process
		// is still used; otherwise two processes that consider each other dead could
		// never rejoin.
		m.stats.FromDead++
		for _, update := range msg.Updates {
			if update.Incarnation.Process == m.self.Incarnation.Process {
				m.refute(now, update)
			}
		}
	} else if sender != nil {
		m.applyMetadata(now, sender, record, true)
		m.mergeUpdates(now, from, msg)
		m.compareDigest(now, sender, msg)
	}
	switch msg.Kind {
	case Ping:
		m.handlePing(now, from, msg)
	case PingReq:
		m.handlePingReq(now, from, msg)
	case Ack:
		m.handleAck(now, sender, msg)
	case SyncRequest:
		m.handleSyncRequest(now, from, msg)
	case SyncReply:
		m.handleSyncReply(now, sender, msg)
	}
}

func (m *Machine) mergeUpdates(now time.Duration, from netip.AddrPort, msg *Message) {
	for i := range msg.Updates {
		update := &msg.Updates[i]
		p := update.Incarnation.Process
		if p == msg.From.Incarnation.Process {
			continue
		}
		m.applyUpdate(now, *update, from)
		member := m.members[p]
		if member == nil || member == m.self {
			continue
		}
		if member.State != Dead {
			m.applyMetadata(now, member, *update, false)
		}
		if msg.Kind == SyncReply && overrides(member.Incarnation.Number, member.State, update.Incarnation.Number, update.State) {
			m.enqueueUpdate(member) // the sender has an older record
		}
	}
}
