// Package baseline is the policy that experiments compare the router with: one
// first-in first-out queue without classes or deadlines, upstreams in turn, a fixed
// number of connections to each, and failed requests retried at once.
//
// It has the methods of the scheduler and the balancer that an entry instance uses.
package baseline
