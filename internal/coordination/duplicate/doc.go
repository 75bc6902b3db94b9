// Package duplicate decides when a request that may be repeated is sent to a second upstream before the first has failed, so
// that a few slow upstreams do not determine the slowest answers.
//
// A duplicate is work that the first upstream may already have done. It is sent only if the first output takes longer than it
// does for 95 in 100 requests of the class, and longer than was predicted for this one; only to an upstream that has nothing to
// wait for and is predicted to be sooner than the first has been so far; and only within a share of the requests. When the
// upstreams have little room, there is no such upstream, and the share falls to nothing by itself.
package duplicate
