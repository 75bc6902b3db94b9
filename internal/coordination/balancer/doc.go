// Package balancer selects the upstream for each request of one model or service.
//
// An instance uses a subset of the upstreams: an arc of a ring that is ordered by
// hash, placed by the instance's rank among the live instances of its failure domain.
// Nothing between Pick and Done looks at upstreams outside the subset; Update and
// SetPeers do.
//
// Pick works in this order:
//
//  1. Exclusions are dropped only when they cover the whole subset.
//  2. An upstream of the own domain that is due for a probe receives the request:
//     an ejected one after its back-off, a straggler once a second.
//  3. Of the own domain's upstreams with an open slot, rendezvous hashing on the
//     prefix gives two candidates with bounded loads, otherwise the less loaded of two
//     random ones is taken.
//  4. When none is open, or the remote choice is predicted to be faster by more than
//     the extra round trip, the same is done with other domains' upstreams, of which a
//     quarter of the limit is open.
//
// Each upstream's concurrency limit follows its latency (limiter), upstreams that fail
// are ejected with exponential back-off (ejection), and upstreams that are slow
// compared with their peers are cut (straggle). docs/decisions/upstream-selection.md
// gives the rules, the constants and the measurements.
//
// A long campaign of the state machine test, with random seeds:
//
//	go test ./internal/coordination/balancer -run TestStateMachine -rapid.checks=200000 -rapid.steps=200 -rapid.seed=0
package balancer
