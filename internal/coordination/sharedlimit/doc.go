// Package sharedlimit keeps the rate limit that an upstream states, in sum over all instances
// that send to it. An instance has one Limiter for each upstream.
//
// # Knowledge
//
// An upstream in need states in its answers the requests per second that it takes from all
// instances together, until an answer no longer states it. An answer that states a higher
// limit, or none, counts only if its request was sent after the last answer with the current
// limit: answers overtake each other. Each change increases a version. Instances exchange limit and
// version; the higher version wins and, if they are equal, the stricter limit. An instance that
// was cut off therefore cannot bring an ended limit back, and a wrong limit ends with the next
// answer that anybody receives.
//
// # Holders
//
// A share of the limit for each instance is too much at small limits: with a limit of one
// request per second, the first request of each of twelve instances exceeds what the upstream
// takes in ten seconds. Only a few instances, the holders, send to a limited upstream: one for
// every four requests per second of the limit, at least one. All instances choose them alike, by
// rendezvous hashing of the live instances, and the others place their requests elsewhere. A
// holder sends at regular intervals without bursts, so a change of holders costs no more than
// the requests that are already on their way.
//
// The rate that a cold upstream takes is imposed, not stated: see [Limiter.Impose]. The bound holds for instances that
// cannot reach each other, too, so their holders are chosen among all instances that may be running rather than
// among the live ones.
//
// # Arrivals
//
// The upstream counts what arrives, not what was sent. A paused upstream reads all at once what
// has piled up on its connections, including requests that were given up. Only a small number of
// requests may therefore be unanswered. One that was given up counts until a request sent after
// it is answered, for unreadLifetime at most.
package sharedlimit
