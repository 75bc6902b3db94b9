// Package scheduler decides which waiting request runs next and which requests
// are shed. There is one Scheduler for each model or service. The caller calls
// Next while an upstream has a free slot, and Tick a few times per second.
//
// # Order
//
// Next returns a request of the highest tier that has one waiting. Teams share a
// tier by weighted fair queueing (package fairqueue); the cost of a request is
// its expected service time.
//
// A request below the top tier is aged after its class's MaxWait, and its
// dispatch is due after twice MaxWait. A MaxWait that is not set, or that is half
// of the class's limit or more, counts as a quarter of that limit, since nothing
// would be due in time otherwise. At most one in any AgedShare consecutive
// dispatches goes by the aged rule, to the request that is due first:
//
//   - once it is due, in any case;
//   - once it is aged, if every waiting request of a higher tier is predicted to
//     meet its limit even so. The prediction compares the drain time of a tier
//     with the earliest limit in it, so it can only err towards no.
//
// The request whose turn an aged dispatch took is passed over: until the next
// dispatch it is neither expired nor the victim of a full queue, and that
// dispatch goes to it unless a higher tier has a request by then. The exemption
// ends when no dispatch follows within two service times and 1 s after the limit.
//
// While a peer sheds a tier, lower tiers are not dispatched, except that one
// aged request may run every AgedShare * g, where g is the learned time between
// two dispatches.
//
// # Open slots
//
// A tier leaves an eighth of the slots open for each tier above it that was dispatched
// lately, for two at most, so that a request of a higher tier need not wait for the next
// end of a request. The caller tells the slots with SetRoom before Next. Subsets of fewer
// than eight slots leave none open. While the rest is taken, one aged request may run every
// AgedShare * g, as while a peer sheds a higher tier.
//
// # Admission
//
// The limit of a request is its deadline, or with Attainment the first-token
// target if that is earlier. A request is admitted when nothing is queued or in
// flight, when the service rate is unknown, or when
//
//	now + wait + first <= limit
//
// With Goodput, the first-token target takes the limit's place in this rule when work of
// its own tier or above is ahead of the request, and it is not a retry: an answer that
// misses its target is no goodput, but takes a slot from one that meets it.
// Once admitted, a request is kept until its deadline; when it can no longer meet its
// target, it is put behind the requests of its tier that can. Here first is the learned median
// time from dispatch to first token, and wait is the lesser of two predictions. The first
// is for its turn:
//
//	wait = margin * (work / (C * max(1 - 1/AgedShare - h, 1/AgedShare)) + turn)
//
// work is the expected service time of the queued requests of higher tiers, and
// of its own tier as far as fair queueing serves them first, that is at most
// the team's own requests divided by its share. C is the learned service rate
// (package estimate), h the share of it that higher tiers lately took, turn the
// 95th percentile of the time between two dispatches, which is what one aged
// dispatch costs. The margin is learned for each class and team so that about
// one admitted request in 100 expires. Lower tiers play no part. The second
// prediction is the guarantee of the aged share:
//
//	wait = max(now, arrival + 2*MaxWait) - now + (n+1) * AgedShare * g
//
// where n counts the queued requests below the top tier. A bulk request is
// therefore not shed on arrival because of higher tiers that are overloaded for
// ever while its share would serve it in time.
//
// Estimates decay (70 s at most without samples), so that a shed request cannot
// lock the scheduler into shedding.
//
// # Full queue
//
// QueueLimit places are shared by all tiers. Each tier below the top one has a
// reserve of max(1, QueueLimit/AgedShare) further places for its oldest
// requests. A request over the limit displaces the newest request of the team
// with the most requests per weight in the lowest tier outside its reserve.
// Retries take no place and are never victims; the retry budget bounds them.
// With T tiers at most QueueLimit + (T-1) * reserve requests wait, besides
// retries and requests that were passed over.
//
// # Promises
//
// P1: no request is shed in favour of a lower tier.
//
//   - On arrival, the work of lower tiers does not count.
//   - A victim of a full queue is in the lowest tier that takes places.
//   - A request whose turn a lower tier took is not shed before the next turn,
//     unless the upstreams stall as stated above.
//   - The other requests of higher tiers pay at most one dispatch in AgedShare
//     as delay, for which admission reserves 1/AgedShare of the capacity and one
//     turn from the start. A request can still expire when the service slows
//     down after it was admitted, with or without lower tiers.
//
// P2: a queued request below the top tier that is not cancelled, not displaced
// from a full queue and whose limit is long enough is dispatched after at most
//
//	2*MaxWait + (n+1) * AgedShare * G
//
// where n is the number of queued requests that are due earlier, including
// retries that come back with an earlier arrival, and G is the greatest time
// between two dispatches. In dispatches: at most (n+1) * AgedShare after it is
// due, whatever higher tiers do. The oldest requests of each tier, as many as
// its reserve holds, are never displaced. While a peer sheds a higher tier and
// nothing else may run here, G is the greater of g and the time between two
// calls of Next divided by AgedShare.
//
// # Cost
//
// A call costs O(log n) in the waiting requests and teams, plus loops over the
// classes and tiers. MergePressure loops over the peers, Reconfigure costs
// O(n log n).
package scheduler
