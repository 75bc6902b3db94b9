// Package streamorigin remembers at which software version of which service a stream began, so that
// any instance can go on with a stream that another one began.
//
// A record is written when the first event of a stream has arrived. It is kept by the instance that
// forwarded the event and copied to a few holders, chosen by rendezvous hashing of the stream's key
// among the live instances: two in the failure domain in which the stream began, to whose instances its
// caller returns, and one in each of two other domains, which survive the loss of the first. An instance that
// does not have a record asks the instances that may hold it, all at once; it needs no list of them,
// since it computes the same choice. When instances come and go, those that have a record copy it to
// its new holders.
//
// In a small fleet, records are copied to all other instances, too, in batches and a moment later: a loss of
// power may take all holders and leave few instances, which then know the streams. Copies that an instance
// has missed are not made up for; it asks all others.
//
// Records expire after [Lifetime]. A key that is recorded with two different origins is ambiguous and
// counts as unknown.
//
// [VersionHistory] tells when no record is needed: as long as a service has had one version only for a
// Lifetime, each of its streams began there. That only one version is published now proves nothing,
// because a stream may have begun before a release.
package streamorigin
