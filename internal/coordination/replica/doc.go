// Package replica keeps an instance's copy of what the platform publishes under one
// prefix: the configuration, or the entries of the upstreams.
//
// # Ordering
//
// The platform numbers all changes with one increasing revision. A snapshot or a change
// that is not newer than the replica has no effect. Late and repeated answers and
// outdated copies from peers are therefore harmless.
//
// # Outages
//
// Entries of upstreams expire while the platform cannot be written, although the upstreams
// are running. A removal that is received while the platform is unavailable, or within
// Options.GracePeriod after it is available again, is deferred: it takes effect at the end
// of the grace period if the entry is still missing. All other removals take effect
// immediately.
//
// A snapshot received from a peer is applied like a full read from the platform, so that
// an instance whose requests the platform refuses stays up to date through its peers.
package replica
