// Package dispatch decides for each request of a service whether it is placed on an upstream,
// waits, or is rejected. An instance has one Dispatcher for each service, which holds the
// service's waiting requests and the state of its upstreams. It predicts the work of each
// upstream from the requests that this instance sends there, from the reports of its peers, and
// from the difference between predicted and actual response times.
//
// # Terms
//
// A prompt is long if the prefill of its class's mean prompt would take longPrefillThreshold or
// more with nothing cached, or its own longOutlierThreshold or more; otherwise it is short. A
// stream is latency-sensitive if it has an inter-token target of at most
// sensitiveInterTokenTarget. The split is the division of the upstreams into those for long
// prompts and those for streams and other short prompts.
//
// The parts of a prompt before the last one may be shared with other requests; the last shared
// part identifies the session. The preferred upstream of a session is the first in the session's
// rendezvous hash order among the available upstreams that the split assigns to the request.
//
// An upstream is ejected when it, or several upstreams of its failure domain, could not be
// reached. Until it can be reached again, it receives requests only if no other one is available.
//
// # Placement
//
// For each upstream that processes prompts the dispatcher predicts when the prefill of all
// prompts sent so far will be complete. This is the predicted start of the next request. The
// work of a request is the prefill of the part of its prompt that the upstream has not cached,
// at the learned rate, plus attention over the preceding tokens. A request is placed on the
// upstream with the lowest sum of predicted start, work and penalties, subject to these rules:
//
//   - Sessions stay where their prompt is cached. The rendezvous hash makes instances choose
//     alike before they have exchanged reports. A long prompt is placed on the session's
//     preferred upstream while it is predicted to start before its target, else on one of the
//     next two upstreams in that order if it is idle; otherwise it waits for its preferred
//     upstream. While less urgent requests arrive, it is also placed on one of the next two if that
//     one starts it in time, and may wait longer there, so that it does not wait while they start elsewhere. Only these few upstreams are considered, the same by all instances, because
//     reports about the others are some hundred milliseconds old and the upstream with the
//     lowest cost would be the same one for all instances. A short prompt that finds none of
//     the three idle is placed on the upstream with the lowest cost, since it costs little
//     anywhere. This matters when bursts of long prompts with shared prefixes arrive at many
//     instances.
//   - The split keeps long prompts and latency-sensitive streams apart, because a prefill
//     chunk of a long prompt delays the next token of every stream on the same upstream. The
//     upstreams are ordered by a hash of their ID. The first of them are for long prompts, as
//     many as their share of the recent work requires. The last of the others are reserved for
//     latency-sensitive streams, which even the single-chunk prefill of other short prompts
//     delays. An upstream that is reassigned to long prompts finishes its streams first, for
//     two seconds at most. Short prompts cross the split when the cost on their own side
//     exceeds the penalty; long prompts cross it only to upstreams that run no requests, or
//     to those with free slots while none for long prompts is available. A long prompt that is
//     more urgent than most streams of its team also crosses it when no upstream for long
//     prompts starts it in time; it does not wait behind requests that may not cross. This matters when
//     streams of a less urgent class need nearly all upstreams.
//   - Upstreams that respond later than predicted, or fail, more than the median upstream have
//     a higher cost. If all of them do, the cause is the load. No upstream is excluded for
//     being slow, so a service is still used when every upstream is slow or fails part of its
//     requests. Upstreams that cannot be reached are ejected and probed with single connection
//     attempts after an exponential backoff.
//
// An upstream that has stated a limit on requests per second receives requests from a few
// instances only, at intervals; see package sharedlimit. The others skip it. If all available
// upstreams have limits, a request waits while it is predicted to start before its target, and is
// rejected otherwise.
//
// Upstreams of services without prompts are compared by requests in flight per slot and mean
// response time.
//
// # Waiting
//
// Short prompts are sent at once: the upstream's own priorities order them better than a queue
// elsewhere could. Long prompts wait in the dispatcher while every upstream is predicted to
// need more than a share of their remaining time for the work ahead, or has no slot. A burst of
// them then neither fills the upstreams' queues ahead of more urgent requests nor is lost when
// an upstream crashes. Waiting requests are ordered by rank, then fairly between teams (package
// fairqueue). This matters for a burst of the least urgent class and for a team that sends
// eight times its usual load.
//
// # Rejection
//
// A request is rejected as soon as it is predicted not to start within its deadline. The work ahead of it
// in the queue counts at the rate at which this instance has placed work lately, or at least at its equal
// share of the upstreams, which serve the queues of all instances. A long
// prompt of the least urgent rank is also rejected on arrival if it would miss its target
// because of a backlog: it would be late and would delay the requests behind it. Resubmitted
// requests are judged only by their deadline. Waiting requests that can no longer meet their
// target are moved behind those of equal rank that can. The retry delay is the predicted time
// until the backlog is processed, with up to 100% random jitter. This matters when more work
// arrives than the upstreams can process for several seconds.
package dispatch
