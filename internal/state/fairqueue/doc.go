// Package fairqueue holds waiting requests in tiers and shares each tier
// between teams by weight.
//
// # Service order
//
// Every tier runs start-time fair queueing. A team has a start tag in virtual
// time; the team with the least tag is served, and its tag advances by the
// request's cost divided by the team's weight. The virtual time of the tier is
// the greatest tag served in turn. A team that becomes active starts at
// max(virtual time, its last tag): an idle team has no stored-up credit, and a
// team cannot drop its debt by being idle for a moment. While two teams a and b
// both wait, the service they receive in turn differs by at most
//
//	| cost(a)/weight(a) - cost(b)/weight(b) | <= max cost/weight(a) + max cost/weight(b)
//
// Within a team retries go first, in the order of arrival, then new requests in
// the order in which they were pushed. A deferred request comes after all requests of
// its tier that are not deferred; the bound above holds between teams that both have
// others.
//
// # Limit, reserve and victim
//
// The queue has limit places for all tiers, and in addition a reserve in every
// tier below the top one. The oldest requests of a tier hold its reserve; when
// one leaves, the oldest other request takes its place. Retries take no place
// at all. Requests in the reserve are never victims and take no place from a
// higher tier, so that a full queue neither empties a low tier nor costs a
// higher tier a place. The victim of a full queue belongs to the lowest tier
// that has requests outside its reserve, and there it is the newest request of
// the team with the most such requests per weight: a burst displaces itself
// before it displaces the other teams.
//
// # Cost
//
// All operations take O(log n) for n teams or retries with waiting requests in
// a tier, plus a loop over the tiers.
package fairqueue
