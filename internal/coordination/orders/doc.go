// Package orders executes each non-idempotent order at most once. It reports NotRun only
// for an order that has not been executed and never will be, and it returns a stored
// response only to the request that the response belongs to.
//
// # Components
//
// A Ticket names the incarnation that issued it (the owner), a second incarnation (the
// witness), the team, a random identifier and an issue number, and is authenticated by a
// MAC with the key shared by the peers. The Ledger holds the state of the owner's tickets
// and decides every transition of an order. Before the owner sends an order, it sends an
// intent to the witness, which records it and later the outcome in its Witness. When an owner
// shuts down gracefully, it sends its ledger to another instance, the successor; this is the
// handover. The successor keeps the ledger in its Successor and serves requests for that
// owner. The instance that receives a request from a caller is the entry instance of the
// request. It queries the owner, then the successor, then the witness.
//
// The Coordinator connects these components: it is a state machine that consumes messages
// and events and returns commands without doing I/O, so that the daemon and the model tests
// run the same code. Time is used only to expire stored data.
//
// To seal a ticket means to record that its order has not been sent and must never be
// sent.
//
// # Invariants
//
//   - Only the owner incarnation sends an order. Ledger.MarkSending permits it once, after
//     the witness incarnation named in the ticket has acknowledged the intent. A ticket
//     without a witness needs no acknowledgement.
//   - Begin records the use of a ticket before anything else happens. Losing later state
//     (response, outcome, active order) can make the result Unknown, but the ticket never
//     counts as not begun again.
//   - The witness seals a ticket when it is queried and has no intent. It refuses an intent
//     that arrives after the query, so the owner does not send the order.
//   - The witness acknowledges a repeated intent again. The owner accepts only the first
//     acknowledgement, and none after it has sealed the ticket.
//   - An owner process that is paused between acknowledgement and send may send when it
//     resumes. The witness therefore answers Unknown once it has an intent, never NotRun.
//   - A restarted witness is a new incarnation. It answers NotOwner for tickets that name
//     the previous incarnation and acknowledges none of their intents; the owner then seals
//     the ticket.
//   - A successor answers NotRun for a ticket that was never begun, because the owner closed
//     its whole ledger before exporting it. It answers only after it has received all parts
//     of the handover.
//   - An entry instance never infers NotRun by itself. A stage that fails yields Unknown.
//
// # Limits
//
// Responses are kept for 15 minutes. The ledger (24 MiB), the witness (24 MiB) and the
// successor (16 MiB) together keep 64 MiB; each entry is charged the size of its response
// plus 256 bytes. The limits of ledger and witness are split evenly over 16 shards. A
// response above 1 MiB is returned to the waiting callers but not stored.
//
// The use of a ticket takes two bits in a window over the latest 4,194,304 issue numbers
// (1 MiB). The issue number counts the tickets of one owner incarnation in one shard. A
// ticket below the window is reported as Unknown and never begins.
//
// The witness keeps 65,536 records. When it evicts a record, it raises the eviction mark of
// that owner in that shard to the next issue number: a ticket below the mark without a
// record is refused and reported as Unknown. Marks are never evicted; when their table is
// full, the witness refuses intents and answers Unknown instead of evicting a record.
//
// BenchmarkBeginToFinish measured 443 bytes for each of 100,000 retained outcomes with a
// response of 256 bytes, including the window. BenchmarkWitness measured 165 bytes for each
// record of a witness.
//
// # Driving a Coordinator
//
// For Execute, dial first and call MarkSending after the connection is established and
// directly before the first write, so that a failed dial is provably NotRun. Report Unknown
// for any failure after the first write. Call MessageFailed for every OrderForward, Intent
// or Query that is not answered in time. The timeout of an Intent should be shorter than
// that of an OrderForward.
//
// # Extended test runs
//
// The model test uses a fixed seed and a fixed number of cases. To run it with other seeds
// and more cases:
//
//	go test ./internal/coordination/orders -run AtMostOnce -rapid.checks=1000000 -rapid.seed=0 -timeout=0
package orders
