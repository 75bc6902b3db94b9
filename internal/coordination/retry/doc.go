// Package retry bounds the retries of one request class or service.
//
// A [Budget] is a token bucket that is refilled by first attempts, not by time:
// every first attempt adds ratio tokens, up to burst, and every retry takes one.
// In any sequence of calls the number of retries is therefore at most
//
//	burst + ratio * (first attempts)
//
// so that retries cannot multiply the load on upstreams that are already failing. The
// bucket starts full, so that a class with few requests can retry its first failures.
//
// A [Window] bounds the retries in a sliding time window. Its bound has a part that grows with the
// first attempts and a fixed part, the slack. The slack belongs to all instances together; [Slack]
// divides it among them.
package retry
