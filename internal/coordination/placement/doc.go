// Package placement reconciles the model engines with the placement that the
// configuration declares: it decides which instance sends which control commands, so
// that each engine loads the wanted version and adapters of its model and takes its role.
//
// Every instance derives the same [Plan] from the same configuration revision, and the
// revision is the fencing number of every command. A command carries the whole wanted
// placement of one engine, so that an engine never holds a mixture of two revisions.
//
// # Controllers
//
// The members of a failure domain with the highest rendezvous hashes, at most
// [Plan.ControllersPerDomain] of them, are its controllers. The controller of an engine
// is the one of them with the highest rendezvous hash of engine and member. If two
// instances act as the controller of an engine while membership changes, they send the
// same idempotent command.
//
// # Reconciliation
//
// A command is sent only in response to the engine's own report, which must be younger
// than [MaxReportAge]. An engine gets no command if it already has the wanted placement,
// is loading, or reports a fence above the revision. While the caller's view is not
// fresh, no query or command is sent and all reports are discarded.
//
// # Change order
//
// The engines of a model have a fixed change order. An engine is commanded only while
// fewer than a quarter of the model's engines (at least one) count as busy: those that
// are loading, those earlier in the order that do not have their wanted placement, and
// those that have not reported since the plan changed. Of the engines that are loading,
// the last one in the order was commanded with all the others counted, so the limit
// holds without coordination while the views of the instances agree. An engine that has
// not answered for [unreachableAfter] is skipped.
//
// # Weight store limits
//
// Each failure domain with managed engines has an equal share of the weight store's rate
// and of its concurrent loads, whatever its instances know of other domains. Each
// controller has an equal share of that, computed from the live controllers of its own
// domain and rounded down. A controller spaces its loads evenly and waits for one such
// interval before its first load. While the views in a domain agree and no controller is
// replaced, the loads in any minute are at most the rate, or one load for each domain
// where the rate is lower than the number of domains, plus, for each controller, the
// weight sets of one command beyond its first. Replacing a controller adds its share of
// the rate once more in that minute, and its share of the concurrent loads until they
// end. An instance that wrongly counts itself as a controller adds at most the share of
// its domain.
//
// # Long runs of the property tests
//
//	go test ./internal/coordination/placement -rapid.checks=20000 -rapid.steps=80 -rapid.seed=0 -timeout 2h
package placement
