package dispatch

import "time"

// Collect returns what has changed since the last call, for the peers. Every
// fullReportInterval it returns all loads, and the limits that this instance holds: if a report were lost, or a relay stopped, peers
// would otherwise keep counting requests that have ended.
func (d *Dispatcher) Collect(now time.Duration) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Placed: d.unreportedWork, Full: now >= d.nextFullReportAt}
	if r.Full {
		d.nextFullReportAt = now + fullReportInterval
	}
	d.unreportedWork = nil
	for u := range d.all() {
		if u.limiter.Limit().Version > 0 && (r.Full && u.limiter.Holder() || !u.limitReported) {
			u.limitReported = true
			r.Limits = append(r.Limits, UpstreamLimit{Upstream: u.tag, Incarnation: u.incarnationHash(), Limit: u.limiter.Limit()})
		}
		if u.stated.leaving && (r.Full || !u.leavingReported) {
			u.leavingReported = true
			r.Leaving = append(r.Leaving, LeavingUpstream{Upstream: u.tag, Incarnation: u.incarnationHash()})
		}
		u.local.Upstream = u.tag
		if u.KVCapacityTokens > 0 && (u.local != u.reported || r.Full && u.local.InFlight > 0) {
			u.reported = u.local
			r.Loads = append(r.Loads, u.local)
		}
	}
	return r
}

// fullReportInterval is the interval between reports of all loads.
const fullReportInterval = 2 * time.Second

// Merge applies the report of a peer.
func (d *Dispatcher) Merge(now time.Duration, peer string, r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range r.Placed {
		u := d.byTag[w.Upstream]
		if u == nil || u.KVCapacityTokens == 0 || w.Prefill < 0 {
			continue
		}
		u.addWork(now, w.Rank, min(w.Prefill, maxPeerPrefill))
		u.cacheSession(now, w.Session)
		d.demand.addWork(now, w.Prefill, w.Long)
	}
	for _, l := range r.Limits {
		if u := d.byTag[l.Upstream]; u != nil && l.Incarnation == u.incarnationHash() && u.limiter.Merge(now, l.Limit) {
			d.placeInHolderOrder(now, u)
		}
	}
	d.mergeLeaving(r.Leaving)
	if r.Full {
		d.clearPeerLoads(peer)
	}
	for _, l := range r.Loads {
		if u := d.byTag[l.Upstream]; u != nil && l.InFlight >= 0 && l.Streams >= 0 {
			u.setPeerLoad(peer, l)
		}
	}
}

// maxPeerPrefill bounds the prefill time accepted for one prompt reported by a peer.
const maxPeerPrefill = 5 * time.Second

// Forget removes the loads reported by a peer that has left.
func (d *Dispatcher) Forget(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clearPeerLoads(peer)
}

func (d *Dispatcher) clearPeerLoads(peer string) {
	for u := range d.all() {
		u.setPeerLoad(peer, Load{})
	}
}
