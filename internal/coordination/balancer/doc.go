// Package balancer selects the upstream for each request of one model or service.
//
// An instance uses a subset of the upstreams: consecutive positions of a ring that is
// ordered by hash, starting at a position that follows from the instance's rank among
// the live instances of its failure domain. Pick and Done do not look at upstreams
// outside the subset; SetUpstreams and SetPeers do.
//
// Pick works in this order:
//
//  1. Excluded upstreams are skipped, unless the whole subset is excluded.
//  2. An upstream of the own failure domain that is due for a probe receives the
//     request: an ejected one after its back-off, a straggler once a second.
//  3. Among the upstreams of the own failure domain with a free slot, rendezvous hashing
//     on the prefix gives two candidates, of which the first within its load bound is
//     selected. If neither is, or the request has no prefix, the less loaded of two
//     random upstreams is selected.
//  4. If no upstream of the own failure domain has a free slot, or the remote candidate
//     is predicted to be faster by more than the extra round trip, the same rules apply
//     to the upstreams of other failure domains. A quarter of their limit is available.
//
// Each upstream's concurrency limit is adapted to its latency (limiter). Upstreams that
// fail are ejected with exponential back-off (ejection). Upstreams that are slow compared
// with the others are marked as stragglers and receive only probes (stragglerState).
// docs/decisions/upstream-selection.md gives the rules, the constants and the
// measurements.
//
// To run the state machine test for longer, with random seeds:
//
//	go test ./internal/coordination/balancer -run TestStateMachine -rapid.checks=200000 -rapid.steps=200 -rapid.seed=0
package balancer
