package dispatch

import "time"

// Collect returns what has changed since the last call, for the peers. Now and then it
// returns all loads: a report that is lost, or whose relay has stopped, would otherwise
// leave requests counted that have long ended.
func (d *Dispatcher) Collect(now time.Duration) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Placed: d.placed, Full: now >= d.fullAt}
	if r.Full {
		d.fullAt = now + fullInterval
	}
	d.placed = nil
	for _, s := range d.order {
		s.own.Server = s.tag
		if s.Memory > 0 && (s.own != s.told || r.Full && s.own.InFlight > 0) {
			s.told = s.own
			r.Loads = append(r.Loads, s.own)
		}
	}
	return r
}

// fullInterval is the pause between reports of all loads.
const fullInterval = 2 * time.Second

// Merge takes the report of a peer.
func (d *Dispatcher) Merge(now time.Duration, peer string, r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range r.Placed {
		s := d.tagged[w.Server]
		if s == nil || s.Memory == 0 || w.Reading < 0 {
			continue
		}
		s.add(now, w.Priority, min(w.Reading, maxPeerReading))
		s.keepSession(now, w.Session)
		d.demand.add(now, w.Reading, w.Long)
	}
	if r.Full {
		d.forget(peer)
	}
	for _, l := range r.Loads {
		if s := d.tagged[l.Server]; s != nil && l.InFlight >= 0 && l.Streams >= 0 {
			s.setPeer(peer, l)
		}
	}
}

// maxPeerReading bounds the reading time of one prompt that a peer reports.
const maxPeerReading = 5 * time.Second

// Forget drops the loads of a peer that is gone.
func (d *Dispatcher) Forget(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(peer)
}

func (d *Dispatcher) forget(peer string) {
	for _, s := range d.order {
		s.setPeer(peer, Load{})
	}
}
