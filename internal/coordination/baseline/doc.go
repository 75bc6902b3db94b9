// Package baseline implements the policy that experiments compare the router with: one
// first-in, first-out queue without classes or deadlines, round-robin selection of
// upstreams, a fixed number of connections to each upstream, and immediate retries of
// failed requests.
//
// Its types have the methods of the scheduler and the balancer that an entry instance
// uses.
package baseline
