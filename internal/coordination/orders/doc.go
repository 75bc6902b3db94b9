// Package orders makes sure that a non-idempotent order runs at most once, that "not run"
// is said only of an order that never ran and never will, and that a stored answer goes
// only to the request it belongs to.
//
// # Parts
//
// A Ticket names the incarnation that issued it (the owner), another incarnation (the
// witness), the team, a random identifier and an issue number, under a MAC with the
// peers' key. The Ledger of the owner decides every step of an order. The Witness
// records intents and outcomes. The Successor answers for owners that stopped as
// planned. The Flow connects them: it takes messages and events and returns commands, so
// that the daemon and the model tests drive the same code. Nothing here uses a clock
// except to drop stored answers.
//
// # Rules
//
//   - Only the owner incarnation sends an order. Ledger.MarkSending permits it once, after
//     the acknowledgement of the witness incarnation that the ticket names. A ticket
//     without witness needs no acknowledgement.
//   - The use of a ticket is recorded at Begin, before anything else. What is lost
//     later (answer, outcome, attempt) can make the result Unknown but never "not begun".
//   - The witness seals a ticket when it is asked and has no intent. An intent that was
//     delayed until after the question is refused, so the owner does not send.
//   - A repeated intent is acknowledged again; the owner takes the first acknowledgement
//     only, and none after it has sealed the ticket.
//   - An owner that is frozen between acknowledgement and send may send when it wakes:
//     the witness answers Unknown from the intent on, never NotRun.
//   - A restarted witness is another incarnation. It answers NotOwner for tickets that
//     name its predecessor and acknowledges none of their intents; the owner then seals.
//   - A successor answers NotRun for a ticket that was never begun, because the owner
//     sealed its ledger as a whole before it exported it. It answers only once it has all
//     parts of the handover.
//   - An entry instance never concludes NotRun by itself; a step that fails is Unknown.
//
// # Bounds
//
// Answers are kept for 15 minutes. The ledger (24 MiB), the witness (24 MiB) and the
// successor (16 MiB) together keep 64 MiB in total; each entry counts its answer plus 256
// bytes. The bounds of ledger and witness are split evenly over 16 shards. An answer
// above 1 MiB is passed on to waiting callers and not kept.
//
// The use of a ticket takes two bits in a window over the latest 4,194,304 issue numbers
// (1 MiB). The issue number counts the tickets of one owner incarnation in one shard. A
// ticket below the window is answered Unknown and never begins.
//
// The witness keeps 65,536 records. When it drops one, it raises the mark of that owner
// in that shard to the next issue number: tickets below the mark without a record are
// refused and Unknown. Marks are never dropped; when their table is full, the witness
// refuses intents and answers Unknown instead of dropping a record.
//
// BenchmarkBeginToFinish and BenchmarkWitness measured 443 bytes for each of 100,000
// retained outcomes with an answer of 256 bytes, the window included, and 165 bytes for
// each record of a witness.
//
// # Driving a Flow
//
// For Execute, dial first and call MarkSending after the connection is made and directly
// before the first write, so that a failed dial is provably NotRun. Report Unknown for
// any failure after the first write. Call Failed for every OrderForward, Intent or Query
// that is not answered in time; the time limit of an Intent should be shorter than that
// of an OrderForward.
//
// # Long campaigns
//
// The model test runs with a fixed seed and count. A long campaign with other seeds:
//
//	go test ./internal/coordination/orders -run AtMostOnce -rapid.checks=1000000 -rapid.seed=0 -timeout=0
package orders
