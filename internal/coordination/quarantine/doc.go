// Package quarantine limits the damage of a request that crashes upstreams: while its
// caller resends it, it crashes at most two of them.
//
// # Rule
//
// A request is identified by a fingerprint, a keyed hash of team and body. When an
// upstream crashes, the crash is recorded for every request that was running there:
//
//   - with one open crash, the request runs isolated from other suspects (Suspect);
//   - with two open crashes, the request is refused (Refuse) until its entry expires, 10
//     minutes after the latest crash;
//   - a suspect that completes is cleared of the crashes known to the instance where it
//     completes. A completion does not clear a request that is refused there.
//
// Of a request that was answered less than 10 seconds before, the crashes within a second of the first
// one after the answer count once: the loss of a failure domain takes several upstreams at which a
// sound request may run. An instance that has seen the answer clears all of them but the one with the
// lowest identifier. It judges only crashes whose time it knows, because it observed them or was
// told of them when they happened.
//
// A request whose attempt was given up counts as running for another 10 seconds, because the
// upstream may still work on it.
//
// # Parts of prompts
//
// One part of a prompt may crash each upstream that begins to answer it, in requests of which
// no two are alike. Parts have entries of their own. A crash is recorded for the parts of all
// prompts whose answer has not got far at the upstream:
//
//   - an answer that has got far enough clears the parts of its prompt of the known crashes, and
//     keeps them from suspicion for 10 seconds, since a part that crashes upstreams never gets
//     that far. The owner of the quarantine decides how far that is. An instance that has seen such an answer clears the part for a peer that reports it;
//   - a part with three open crashes is refused;
//   - a part that crashes upstreams was at each of their crashes, others at some. Crashes that a
//     refused part explains do not count against parts with fewer crashes, nor against requests
//     without that part.
//
// Which parts are refused is computed from the entries, so instances with the same entries
// refuse the same parts.
//
// # Exchange
//
// An entry holds a set of crash identifiers, each open or cleared. Entries merge by set
// union, and cleared overrides open, so the result does not depend on the order, grouping
// or repetition of the messages. A clearing names the crashes that it clears: one that
// arrives late cannot hide a later crash, and a crash report that arrives late cannot undo
// a clearing. A crash keeps its earliest known time, so forwarding a suspicion does not
// extend its lifetime. When an instance clears the only crash it knows while another
// instance already knows a second, the clearing still applies: the request is a suspect
// again.
//
// A crash is identified by upstream and upstream incarnation, and two crashes of one
// upstream are counted separately. The caller of UpstreamCrashed passes the incarnation
// that ran the requests. It must not dispatch to an upstream that crashed before it knows
// the new incarnation; otherwise the next crash would carry the old identifier and not be
// counted.
//
// # Bounds
//
// A quarantine holds 4,096 entries, 256 in each of 16 shards, with at most 8 crashes in an
// entry; names from peers are limited to 128 bytes. When a shard is full, the entry whose
// latest crash was recorded first is evicted from the team with the most entries in it. A
// team that has fewer entries in a shard than 256 divided by the number of teams present
// there loses none. Once the bounds are reached, the order of messages can decide which
// entry is evicted.
//
// # Known limitations
//
// A request that was running at two different crashes that no part explains is refused until its
// entry expires, although it caused neither, unless it was answered shortly before both at one moment. A part that began to crash upstreams within the last 10
// seconds is found when these have passed. A part that no answered prompt has and that was at all
// crashes of a deadly part is refused with it. When all instances end together, nothing is known. Copies that are already running when the first crash
// happens can each crash an upstream. The page docs/decisions/crashing-requests.md
// describes these cases and the alternatives.
//
// # Extended tests
//
// The rapid tests run with a fixed seed and a fixed number of checks. An extended run with
// other seeds:
//
//	go test ./internal/coordination/quarantine -rapid.checks=1000000 -rapid.seed=0 -timeout=0
package quarantine
