// Package scheduler decides which waiting request is dispatched next and which requests
// are shed. There is one Scheduler for each model or service. The caller calls
// Next while an upstream has a free slot, and Tick a few times per second.
//
// All times, such as the now parameters and Request.Arrived, are durations on the caller's
// monotonic clock, measured from the start of the process.
//
// # Order
//
// Tiers are strict priorities; a higher tier has a lower number. In regular order, Next returns
// a request of the highest tier that has one waiting. Teams share a tier by weighted fair
// queueing (package fairqueue); the cost of a request is its expected service time.
//
// Aging keeps the lower tiers from starving: an aged dispatch serves a request that has waited
// long, regardless of the regular order. A request below the top tier is aged after its
// class's MaxWait, and its dispatch is due after twice MaxWait. A MaxWait that is not
// set, or that is at least half of the class's effective deadline, is replaced by a quarter
// of that deadline; otherwise no request would become due in time. At most one in any
// AgingInterval consecutive dispatches is an aged dispatch. It goes to the request with
// the earliest due time:
//
//   - unconditionally, once that request is due;
//   - once it is aged, if every waiting request of a higher tier is still predicted to
//     meet its effective deadline. The prediction is conservative: it compares the backlog
//     time of a whole tier with the earliest effective deadline in it.
//
// An aged dispatch bypasses the request whose turn it takes. Until the next dispatch, the
// bypassed request is neither expired nor the victim of a full queue, and that dispatch goes
// to it unless a higher tier has a request by then. If no dispatch follows, the exemption
// ends two service times plus 1 s after the effective deadline.
//
// While a peer sheds a tier, lower tiers are not dispatched, except for one aged
// request every AgingInterval * g, where g is the estimated mean time between two
// dispatches.
//
// # Reserved slots
//
// A tier leaves an eighth of the slots open for each higher tier with recent dispatches,
// counting at most two such tiers, so that a request of a higher tier need not wait for a
// running request to end. The caller reports the slots with SetSlots before Next. With fewer
// than eight slots, none are reserved. While only reserved slots are open, one aged request
// may be dispatched every AgingInterval * g, as while a peer sheds a higher tier.
//
// # Admission
//
// The effective deadline of a request is its deadline or, with Attainment, the first-token
// target if that is earlier. Both bound the time of the first token. A request whose effective
// deadline has not passed is admitted when nothing is queued or in flight, or when
//
//	now + wait + first <= effective deadline
//
// where wait is 0 while the capacity or all service times are unknown.
//
// With Goodput, the first-token target replaces the effective deadline in this rule when
// work of the request's own tier or a higher one is ahead of it and the request is not a
// retry: an answer that misses its target does not count as goodput, but occupies a slot that
// a request could use that meets its target. Once admitted, a request is kept until
// its deadline; when it can no longer meet its target, it is deferred behind the requests of
// its tier that can.
//
// Here first is the estimated median time from dispatch to first token, and wait is the
// lesser of two predictions. The first is the wait in regular order:
//
//	wait = factor * (work / (C * max(1 - 1/AgingInterval - h, 1/AgingInterval)) + i)
//
// work is the expected service time of the queued requests of higher tiers, plus
// that of the requests of its own tier that fair queueing serves earlier, which is at most
// the work of the team's own requests divided by the team's share. C is the estimated capacity
// in service seconds per second (package estimate), h the fraction of it that higher tiers
// used recently, and i the 95th percentile of the time between two dispatches, which is the
// delay that one aged dispatch causes. The factor is adapted for each class and team so that
// about one admitted request in 100 expires. Lower tiers do not enter the prediction. The second
// prediction is the bound that aging guarantees:
//
//	wait = max(now, arrival + 2*MaxWait) - now + (n+1) * AgingInterval * g
//
// where n counts the queued requests below the top tier. A bulk request is
// therefore not shed on arrival because of a permanent overload of higher tiers
// if aged dispatches would serve it in time.
//
// Estimates decay and become unknown after at most 70 s without samples, so that shedding,
// which leaves the scheduler without new samples, cannot perpetuate itself.
//
// # Full queue
//
// All tiers share QueueLimit places. Each tier below the top one has a
// reserve of max(1, QueueLimit/AgingInterval) further places for its oldest
// requests. A request over the limit displaces the newest request of the team
// with the most requests per weight in the lowest tier that has requests outside its reserve.
// Retries take no place and are never victims; the retry budget bounds them.
// With T tiers at most QueueLimit + (T-1) * reserve requests wait, not counting
// retries and bypassed requests.
//
// # Guarantees
//
// P1: no request is shed in favour of a lower tier.
//
//   - On arrival, the work of lower tiers does not count.
//   - The victim of a full queue belongs to the lowest tier that takes places.
//   - A request that an aged dispatch of a lower tier bypassed is not shed before
//     the next dispatch, unless the upstreams stall as described above.
//   - The other requests of higher tiers are delayed by at most one dispatch in
//     AgingInterval, for which admission sets aside 1/AgingInterval of the capacity and
//     one dispatch interval in advance. A request can still expire when the service slows
//     down after it was admitted, with or without lower tiers.
//
// P2: a queued request below the top tier that is not cancelled, not displaced
// from a full queue and whose effective deadline is late enough is dispatched after at most
//
//	2*MaxWait + (n+1) * AgingInterval * G
//
// where n is the number of queued requests that are due earlier, including
// retries that return with an earlier arrival, and G is the greatest time
// between two dispatches. Counted in dispatches, it is at most (n+1) * AgingInterval after
// the due time, regardless of higher tiers. The oldest requests of each tier, as many as
// its reserve holds, are never displaced. While a peer sheds a higher tier and
// no other request may be dispatched here, G is the greater of g and the time between two
// calls of Next divided by AgingInterval.
//
// # Cost
//
// A call costs O(log n) in the waiting requests and teams, plus loops over the
// classes and tiers. MergePressure loops over the peers, and Reconfigure costs
// O(n log n).
package scheduler
