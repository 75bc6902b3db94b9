// Package configsync decides which configuration revision an instance uses and
// replicates revisions between instances. It is a deterministic state machine: the
// driver passes in the time, the members, messages of peers and responses of the
// platform, and performs the actions that the machine returns.
//
// # Rules
//
// The highest revision that passes validation is active; a lower one never replaces it,
// whatever the order in which responses arrive. A text that differs under the number of
// the active revision is rejected and counted as a conflict. A revision that fails
// validation is rejected as a whole and remembered by number and hash, so that it is not
// fetched again.
//
// Two readers per failure domain, the members with the highest rendezvous hash, each keep
// one long-poll call open at the platform. The other members of the domain together read
// about once a second, so that a domain whose readers cannot reach the platform still
// learns of a revision through members that can. An instance that accepts a revision
// announces its number to its two neighbours in the order of identifiers, to three random
// members of its domain and to one member of each of four other domains; each of them
// pulls the sections that it lacks. Once per PeerPollInterval every instance also polls
// one random peer, which makes up for lost announcements and for healed partitions.
//
// A text is split into sections at its top-level list items, so that a change of one
// model transfers only the bytes of that model. The sections joined in order are the exact
// text.
//
// A newly started instance queries the readers and some random members of its domain, one
// member of another domain, and the platform. It is ready when it has a revision that is
// not lower than any reported to it and every peer that it queried has answered or failed,
// with at least one answer; or when it has a revision, StartupTimeout has passed and a
// peer or the platform has answered.
//
// # Extended tests
//
//	go test ./internal/coordination/configsync -run Rapid -rapid.checks=20000 -rapid.steps=200 -rapid.seed=0 -timeout 2h
package configsync
