// Package readers decides which instances read the platform and from whom the others learn of changes.
//
// Every call of the platform counts against a rate that grows more slowly than the fleet. So in each failure
// domain a few instances, the readers, watch the platform; the others, the followers, ask a reader
// with a call that is held until something changes. Readers are the first of the domain's live members in the
// order of a hash of their names ([Choose]). No message is needed for the choice. Two views that differ
// for a moment cost a few calls more: an instance that finds nobody who serves it reads for itself.
//
// The two members after the readers in that order are standbys: when the readers fail, the others ask them
// before they ask the platform. A reader that the platform turns away asks the other readers and the
// standbys, and the platform again after a quarter of the bound.
//
// Each instance keeps the time at which its copy was known to be current, its confirmation. A
// reader's confirmation is its last answer from the platform; it tells its age with each answer, so an age
// holds over any number of hops. [Schedule] keeps this invariant: an instance whose confirmation is older than
// [StaleFraction] of the freshness bound asks the platform itself. With B the bound, a change is
// seen after at most
//
//	path                                          bound            B = 2 s   4 s
//	reader                                        pause + call     0.1 s     0.7 s
//	follower                                      pause + 2 calls  0.1 s     0.7 s
//	readers killed, frozen, cut off or refused    0.65 B + call    1.3 s     2.6 s
//	the same and the platform's answer is lost    0.65 B + 0.5 s   1.8 s     3.1 s
//
// A large change takes one transfer longer: an instance that others ask tells them when a large answer begins to arrive,
// and they read it from the platform at the same time. The pause lets changes in quick succession share a call. A
// call takes some milliseconds.
// Before the first full read, every instance reads for itself, so that starting depends on nobody.
package readers
