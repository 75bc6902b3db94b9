package peerwire

import (
	"math"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

func (w *writer) message(m membership.Message) {
	w.uint(uint64(m.Kind))
	w.uint(m.Seq)
	w.uint(m.Digest)
	w.process(m.Target)
	w.addr(m.TargetAddress)
	w.string(m.Domain)
	w.process(m.After)
	w.bool(m.More)
	w.member(&m.From)
	w.length(len(m.Updates))
	for i := range m.Updates {
		w.member(&m.Updates[i])
	}
}

func (r *reader) message() membership.Message {
	m := membership.Message{Kind: membership.Kind(min(r.uint(), math.MaxUint8)), Seq: r.uint(), Digest: r.uint()}
	m.Target = r.process()
	m.TargetAddress = r.addr()
	m.Domain = r.string(membership.MaxNameBytes)
	m.After = r.process()
	m.More = r.bool()
	m.From = r.member()
	for range r.length(membership.MaxUpdates) {
		c := r.member()
		if r.err != nil {
			break
		}
		m.Updates = append(m.Updates, c)
	}
	return m
}

// process encodes the zero process, which most messages carry, in two bytes.
func (w *writer) process(p membership.Process) {
	if p == (membership.Process{}) {
		w.bytes([]byte{})
		return
	}
	w.bytes(p[:])
}

func (r *reader) process() membership.Process {
	var p membership.Process
	if b := r.bytes(len(p)); len(b) > 0 && r.err == nil {
		if len(b) != len(p) {
			r.err = ErrMalformed
		}
		copy(p[:], b)
	}
	return p
}

// member encodes a claim. The age of the values is rounded down to milliseconds.
func (w *writer) member(c *membership.Member) {
	w.string(c.Name)
	w.string(c.Domain)
	w.process(c.Incarnation.Process)
	w.uint(uint64(c.Incarnation.Number))
	w.addr(c.UDP)
	w.addr(c.TCP)
	w.uint(uint64(c.State))
	w.uint(c.Revision)
	w.bytes(c.Pressure)
	w.uint(uint64(max(c.PressureAge, 0).Milliseconds()))
}

func (r *reader) member() membership.Member {
	c := membership.Member{Name: r.string(membership.MaxNameBytes), Domain: r.string(membership.MaxNameBytes)}
	c.Incarnation.Process = r.process()
	refutation := r.uint()
	if refutation > math.MaxUint32 {
		r.err = ErrMalformed
	}
	c.Incarnation.Number = uint32(refutation)
	c.UDP, c.TCP = r.addr(), r.addr()
	c.State = membership.State(min(r.uint(), math.MaxUint8))
	c.Revision = r.uint()
	c.Pressure = r.bytes(membership.MaxPressureBytes)
	const maxAge = uint64(math.MaxInt64 / time.Millisecond)
	c.PressureAge = time.Duration(min(r.uint(), maxAge)) * time.Millisecond
	return c
}
