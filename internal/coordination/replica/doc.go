// Package replica keeps an instance's copy of what the platform publishes under one
// prefix: the configuration, or the entries of the upstreams.
//
// # Ordering
//
// The platform numbers all changes with one increasing revision. A snapshot or a change
// that is not newer than the replica has no effect. Late and repeated answers and
// outdated copies from peers are therefore harmless.
//
// # Eras
//
// A platform that comes back from an older copy begins a new era and gives revisions out again. So
// the order is by era, then by revision, and a snapshot of a newer era replaces the replica:
//
//   - entries that the older copy does not hold are kept for the grace period, like those that
//     lapse in an outage;
//   - an entry that the older copy shows in a state before the one that this replica has, or that
//     had been removed, does not take effect until it is written again. The owner of the replica
//     decides what such a state is;
//   - answers and copies of former eras have no effect.
//
// An answer without an era counts as one of the era last seen.
//
// # Outages
//
// Entries of upstreams expire while the platform cannot be written, although the upstreams
// are running. A removal that is received while the platform is unavailable, or within
// Options.GracePeriod after it is available again, is deferred: it takes effect at the end
// of the grace period if the entry is still missing. All other removals take effect
// immediately.
//
// Not every replica notices the same outages: the platform may be away for some instances only. A replica
// that defers removals asks others which of them have taken effect there ([Replica.Deferred],
// [Replica.Removed], [Replica.ConfirmRemovals]): one that had no outage has removed the entry at once, and one whose
// outage ended sooner has waited for its grace period.
//
// A snapshot received from a peer is applied like a full read from the platform, so that
// an instance whose requests the platform refuses stays up to date through its peers.
package replica
