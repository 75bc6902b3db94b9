// Package configsync decides which configuration revision an instance uses and
// replicates revisions between instances. It is a deterministic state machine: the
// driver passes in the time, the members, messages of peers and responses of the
// platform, and performs the actions that the machine returns.
//
// # Terms
//
// The platform is the external configuration store, which instances can only read and watch.
// A text is the content of a configuration in YAML. A revision is a text together with its
// number; a higher number is newer. The members are all live instances, including this one;
// the peers are the other members. A reader is a member that keeps a call open at the
// platform. A revision is rejected when its text fails validation. Peers give answers, the
// platform gives responses. A time (now) is the monotonic time since a fixed start, the same
// start for all calls of one machine.
//
// # Rules
//
// The highest revision that passes validation is active; a lower one never replaces it,
// whatever the order in which responses arrive. A text that differs under the number of
// the active revision is ignored and counted as a conflict. A revision that fails
// validation is rejected as a whole and remembered by number and hash, so that it is not
// fetched again.
//
// Each failure domain has two readers, the members with the highest rendezvous hash. Each of
// them keeps one long-poll call open at the platform. The other members of the domain together
// read about once a second, so that a domain whose readers cannot reach the platform still
// learns of a revision through members that can. An instance that accepts a revision
// announces its number to its two neighbours in the order of identifiers, to three random
// members of its domain and to one member of each of four other domains; each of them
// pulls the sections that it lacks. Once per PeerPullInterval every instance also pulls
// from one random peer, which makes up for lost announcements and for healed partitions.
//
// A text is split into sections at its top-level list items, so that a change of one
// model transfers only the bytes of that model. The sections joined in order are the exact
// text.
//
// A newly started instance pulls from the readers and some random members of its domain and
// from one member of another domain, and reads from the platform. It is ready when it has a
// revision that is not lower than any reported to it and each of these pulls was answered or
// failed, with at least one answer; or when it has a revision, StartupTimeout has passed and
// a peer has answered or the platform has responded.
//
// # Extended tests
//
//	go test ./internal/coordination/configsync -run Rapid -rapid.checks=20000 -rapid.steps=200 -rapid.seed=0 -timeout 2h
package configsync
