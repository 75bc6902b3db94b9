// Package dispatch decides where each request of one service runs, which requests wait,
// and which are rejected. It predicts the work of every upstream from what this instance
// sends there, what its peers say they send, and how the answers compare with the
// prediction.
//
// # Placement
//
// An upstream that reads prompts has a predicted time at which it will have read all
// prompts sent so far. A request's predicted start is that time; its own work is the part
// of its prompt that the upstream has not cached, read at the learned rate, plus the
// attention over what precedes. The request goes to the upstream with the least sum of
// start, work and penalties:
//
//   - Sessions stay where their prompt is cached. Each session has a home, the upstream with
//     the highest hash of both, so that instances choose alike before they have talked. A
//     long prompt goes there while it is predicted to begin before its target, else to the
//     next two of the session's order if they are idle, else it waits for its home. Few
//     upstreams are looked at, and the same by all instances: knowledge of the others is
//     some hundred milliseconds old, and the cheapest of all upstreams would be the same one
//     for all of them. A short prompt that finds none of the three idle goes to the cheapest
//     of all, since it costs little anywhere.
//     Load pattern: bursts of long prompts that share their first parts, at many instances.
//   - Long prompts and streams with short pauses keep apart: a chunk of a long prompt
//     delays the next token of every stream beside it. The upstreams are ordered by a hash
//     of their name; the first of them are for long prompts, as many as their share of the
//     recent work asks for. Of the others, the last are for streams with short pauses alone:
//     even the single chunks of questions delay these. An upstream that changes over to long prompts runs its streams
//     to the end first, for two seconds at most. Short prompts cross the border where their
//     own side costs more than the penalty; long ones only to upstreams that run nothing.
//   - Upstreams that answer later than predicted, or fail, more than the median cost more:
//     where all of them do, the cause is the load. Nothing is excluded for being slow, so a service whose every upstream is
//     slow or fails a part of its requests is still used. Upstreams that cannot be reached
//     are set aside and tried again with one request after a back-off.
//
// A plain service has no prompts: its upstreams are compared by requests in flight per
// slot and mean answer time.
//
// # Waiting
//
// Short prompts leave at once: the upstream's own priorities order them better than a
// queue elsewhere could. Long prompts wait here while every upstream is predicted to need
// more than a share of their target for what is ahead, or has no slot, so that a burst of them neither
// fills the upstreams' queues ahead of more urgent requests nor is lost with an upstream
// that crashes. The waiting requests are ordered by rank, then fairly between teams
// (package fairqueue).
// Load pattern: a burst of the least urgent class; one team with eight times its usual.
//
// # Rejection
//
// A request is rejected as soon as it is predicted not to begin within its deadline. A long
// prompt of the least urgent rank is also rejected on arrival when it would miss its target
// behind a backlog: it would run late and make those behind it late, too. Requests that
// come back after a rejection are judged by their deadline. Waiting requests that can no
// longer meet their target go behind those of their priority that can. The time to come
// back is the predicted time until the backlog is gone, spread over as much again.
// Load pattern: more work than the upstreams can do, for seconds.
package dispatch
