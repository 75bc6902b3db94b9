// Package membership is the failure detector of an instance: a deterministic state
// machine in the manner of SWIM. The driver passes time, datagrams and values in and
// performs the actions that come out.
//
// # Rules
//
// Once a probe period a member pings one member of its own domain, in an order that
// is shuffled after each round. Without an answer it asks two helpers to ping for
// it; without an answer at the end of the period it suspects the member. A suspect
// that does not refute within the suspicion time is dead. A claim about a process is
// ordered by its refutation counter, then by its state (alive, suspect, leaving,
// dead); the greater claim wins. Only the process itself increments its counter, so
// a dead claim is overridden only by a process that still runs. A process that has
// announced that it leaves is leaving in all its later incarnations.
//
// A dead claim about a member that the receiver has not suspected for half the
// suspicion time makes it a suspect first. Two halves of a healed partition thus
// give each other the time to refute instead of removing all members at once.
//
// Claims that change a state are sent at once to the two neighbours in the order of
// process identifiers and to three random members of the domain, twice, and at most once
// in FlushInterval; further copies travel in probes, each a bounded number of times.
// Members compare a digest of their view in every message and fetch the view page by
// page where it keeps differing.
//
// Members of other domains are not suspected from here: their own domain does that,
// and the claims arrive over the links. A domain whose links are all silent is
// reported as unreachable and its members remain known, so that a cut between
// domains does not look like the death of all members.
//
// # Long campaigns
//
//	go test ./internal/coordination/membership -run Rapid -rapid.checks=20000 -rapid.steps=200 -rapid.seed=0 -timeout 2h
package membership
