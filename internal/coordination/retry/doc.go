// Package retry bounds the retries of one request class or service.
//
// A [Budget] is a token bucket that is filled by first tries, not by time:
// every first try adds ratio tokens, up to burst, and every retry takes one.
// In any sequence of calls the retries therefore number at most
//
//	burst + ratio * (first tries)
//
// so that retries cannot multiply the load on upstreams that already fail. The
// bucket starts full, which lets a quiet class retry its first failures.
package retry
