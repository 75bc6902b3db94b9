// Package membership is the failure detector of an instance: a deterministic state
// machine based on the SWIM protocol. The driver passes in the time, datagrams and
// metadata, and executes the actions that the machine returns.
//
// # Protocol
//
// Once per probe period a member pings one member of its own failure domain, in
// round-robin order with a shuffle after each round. If no ack arrives within the
// probe timeout, it asks two relays to ping the target (indirect probe). If there is
// no ack at the end of the period either, it suspects the target. A suspect that does
// not refute the suspicion within the suspicion timeout is declared dead. Records of
// a process are ordered by incarnation number, then by state (alive, suspect, leaving,
// dead); the greater record wins. Only the process itself increments its incarnation
// number, so only a process that still runs can override a record of its death. A
// process that has announced that it leaves stays leaving under all later incarnation
// numbers.
//
// A record of the death of a member that the receiver has not suspected for at least
// half the suspicion timeout only makes the member a suspect. After a partition heals,
// members on both sides thus have time to refute and are not all removed at once.
//
// A record whose state has changed is gossiped immediately to the two neighbours in
// the order of process IDs and to three random members of the domain, in two rounds. A
// member starts at most one round per MinGossipInterval. Further copies, a bounded
// number per record, are piggybacked on probe messages. Every message carries a digest
// of the sender's view of its domain. When the digests in pings and acks keep
// differing, the receiver fetches the view of the sender page by page.
//
// Members of other domains are not suspected here: their own domain detects their
// failures, and the records arrive with the pings and acks between the domains. A
// domain from which no pinged member answers is reported as unreachable and its
// members stay known, so that a partition between domains is not mistaken for the
// death of all their members.
//
// # Long test runs
//
//	go test ./internal/coordination/membership -run Rapid -rapid.checks=20000 -rapid.steps=200 -rapid.seed=0 -timeout 2h
package membership
