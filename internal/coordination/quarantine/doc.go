// Package quarantine keeps a request that crashes upstreams from taking down more than
// two of them while its caller resends it.
//
// # Rule
//
// A request is identified by a fingerprint, a keyed hash of team and body. When an
// upstream crashes, every request that ran there gets the crash on its record:
//
//   - one open crash: the request runs isolated from other suspects (Suspect);
//   - two open crashes: the request is refused (Refuse) until the record expires, 10
//     minutes after the latest crash;
//   - a suspect that completes is cleared of the crashes known where it completes. A
//     completion does not clear a request that is refused there.
//
// # Exchange
//
// A record is a set of crash identifiers, each open or cleared. Merging is the union, and
// cleared wins, so the result does not depend on order, grouping or repetition of the
// messages. A clearing names the crashes that it clears: one that arrives late cannot
// hide a later crash, and a crash report that arrives late cannot undo a clearing. A
// crash keeps its earliest known time, so passing a suspicion on does not prolong it.
// When an instance clears the one crash it knows while another instance already knows a
// second, the clearing counts: the request is a suspect again.
//
// A crash is named by upstream and upstream incarnation, and two crashes of one upstream
// are two crashes. The caller of Crashed passes the incarnation that ran the requests. It
// must not dispatch to an upstream that crashed before it knows the new incarnation, or
// the next crash would carry the old name and not be counted.
//
// # Bounds
//
// 4,096 records, 256 in each of 16 shards, and at most 8 crashes in a record; names from
// peers are limited to 128 bytes. When a shard is full, the team with the most records in
// it loses the record whose latest crash was recorded first. A team whose records in a
// shard number fewer than 256 divided by the teams present there loses none. Beyond the
// bounds the order of messages can decide which record is lost.
//
// # What can still happen
//
// A request that ran beside two different crashes is refused until the record expires,
// although it caused neither. Copies that are running at once when the first crash
// happens can each take down an upstream. The page docs/decisions/crashing-requests.md
// states these cases and the alternatives.
//
// # Long campaigns
//
// The rapid tests run with a fixed seed and count. A long campaign with other seeds:
//
//	go test ./internal/coordination/quarantine -rapid.checks=1000000 -rapid.seed=0 -timeout=0
package quarantine
