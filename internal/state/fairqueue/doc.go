// Package fairqueue holds waiting requests in tiers and shares the service of each tier
// between teams by weight.
//
// # Service order
//
// Every tier runs start-time fair queueing. A team has a start tag in virtual time; the
// team with the smallest tag is served, and its tag advances by the cost of the request
// divided by the weight of the team. The virtual time of the tier is the greatest tag of
// a request that was served in turn. A team that becomes active starts at
// max(virtual time, its last tag): an idle team accumulates no credit, and a team cannot
// drop its debt by being idle for a moment. While two teams a and b both wait, the
// service that they receive in turn differs by at most
//
//	| cost(a)/weight(a) - cost(b)/weight(b) | <= max cost/weight(a) + max cost/weight(b)
//
// Within a team retries go first, in the order of arrival, then new requests in the order
// in which they were pushed. A deferred request is served after all requests of its tier
// that are not deferred; the bound above holds between teams that both have requests that
// are not deferred.
//
// # Limits and eviction
//
// All tiers together have a limited number of shared slots. In addition, every tier below
// the top one has a reserve of slots of its own, held by its oldest requests: when one of
// them leaves, the oldest request in a shared slot takes over its reserved slot. Retries
// take no slot. Requests in the reserve are never evicted and take no shared slot, so
// that a full queue neither empties a low tier nor costs a higher tier a slot.
//
// The victim of a full queue belongs to the lowest tier that has requests in shared
// slots. It is the newest such request of the team that has the most of them per weight:
// a burst evicts its own requests before those of other teams.
//
// # Complexity
//
// All operations take O(log n) for n teams or retries with waiting requests in a tier,
// plus a loop over the tiers.
package fairqueue
