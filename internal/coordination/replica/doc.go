// Package replica keeps an instance's copy of what the platform publishes under one
// prefix: the configuration, or the entries of the upstreams.
//
// # Order
//
// The platform numbers all changes with one rising revision. A full read or a change
// that is not newer than the copy changes nothing, so late and repeated answers, and
// copies of peers that are behind, are harmless.
//
// # Outages
//
// Entries of upstreams lapse while the platform cannot be written, although the upstreams
// run. A removal that is seen while the platform is away, or within Options.Grace after
// its return, takes effect only when the grace has passed and the entry is still missing.
// Entries removed at any other time are gone at once.
//
// A copy that a peer passes on is applied like a full read, so that an instance which the
// platform refuses keeps up through its peers.
package replica
