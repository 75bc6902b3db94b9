package peerwire

import (
	"math"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

func (w *fieldWriter) message(m membership.Message) {
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

func (r *fieldReader) message() membership.Message {
	m := membership.Message{Kind: membership.Kind(min(r.uint(), math.MaxUint8)), Seq: r.uint(), Digest: r.uint()}
	m.Target = r.process()
	m.TargetAddress = r.addr()
	m.Domain = r.string(membership.MaxNameBytes)
	m.After = r.process()
	m.More = r.bool()
	m.From = r.member()
	for range r.length(membership.MaxUpdates) {
		update := r.member()
		if r.err != nil {
			break
		}
		m.Updates = append(m.Updates, update)
	}
	return m
}

// process encodes the zero process, which most messages contain, in two bytes.
func (w *fieldWriter) process(p membership.Process) {
	if p == (membership.Process{}) {
		w.bytes([]byte{})
		return
	}
	w.bytes(p[:])
}

func (r *fieldReader) process() membership.Process {
	var p membership.Process
	if b := r.bytes(len(p)); len(b) > 0 && r.err == nil {
		if len(b) != len(p) {
			r.err = ErrMalformed
		}
		copy(p[:], b)
	}
	return p
}

// member encodes the state of a member. PressureAge is rounded down to milliseconds.
func (w *fieldWriter) member(m *membership.Member) {
	w.string(m.Name)
	w.string(m.Domain)
	w.string(m.FailureDomain)
	w.process(m.Incarnation.Process)
	w.uint(uint64(m.Incarnation.Number))
	w.addr(m.UDP)
	w.addr(m.TCP)
	w.uint(uint64(m.State))
	w.uint(m.Revision)
	w.bytes(m.Pressure)
	w.uint(uint64(max(m.PressureAge, 0).Milliseconds()))
}

func (r *fieldReader) member() membership.Member {
	m := membership.Member{Name: r.string(membership.MaxNameBytes), Domain: r.string(membership.MaxNameBytes), FailureDomain: r.string(membership.MaxNameBytes)}
	m.Incarnation.Process = r.process()
	number := r.uint()
	if number > math.MaxUint32 {
		r.err = ErrMalformed
	}
	m.Incarnation.Number = uint32(number)
	m.UDP, m.TCP = r.addr(), r.addr()
	m.State = membership.State(min(r.uint(), math.MaxUint8))
	m.Revision = r.uint()
	m.Pressure = r.bytes(membership.MaxPressureBytes)
	const maxAge = uint64(math.MaxInt64 / time.Millisecond)
	m.PressureAge = time.Duration(min(r.uint(), maxAge)) * time.Millisecond
	return m
}
