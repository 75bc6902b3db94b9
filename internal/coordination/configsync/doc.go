// Package configsync decides which configuration revision an instance has in force
// and how revisions spread: a deterministic state machine. The driver passes time,
// members, peers' messages and the platform's answers in and performs the actions
// that come out.
//
// # Rules
//
// The highest revision that passes validation is in force; a lower one never
// replaces it, whatever the order of answers. Content that differs under the
// accepted revision is refused and counted. A revision that fails validation is
// refused as a whole and remembered by number and hash, so that it is not fetched
// again.
//
// Two readers per domain, the members with the highest rendezvous hash, keep one
// waiting call each at the platform. An instance that accepts a revision announces its number
// to its two neighbours in the order of identifiers, to three random members of its
// domain and to one member of each of four other domains; each of them pulls the
// sections that it lacks. Once in PollInterval every instance also asks one random
// peer, which repairs lost announcements and healed partitions.
//
// A text is split into sections at its top-level list items, so that a change of one
// model moves the bytes of that model only. The parts in order are the exact text.
//
// A fresh instance asks the readers and some random members of its domain, and the
// platform. It is ready when it has a revision that is not lower than any it has
// heard of and every peer that it asked has answered or failed, with at least one
// answer; or when StartTime has passed and a peer or the platform has answered.
//
// # Long campaigns
//
//	go test ./internal/coordination/configsync -run Rapid -rapid.checks=20000 -rapid.steps=200 -rapid.seed=0 -timeout 2h
package configsync
