// Package placement decides which instance gives which control commands to the model
// engines, so that they load the models' wanted versions and adapters and take their
// roles.
//
// Every instance derives the same [Plan] from the same configuration revision, and the
// revision is the fencing number of every command. A command carries the whole wanted
// placement of one engine, so that an engine never holds a mixture of two revisions.
//
// Giver. The members of a failure domain with the highest rendezvous hashes, at most
// [Plan.GiversPerDomain] of them, are its givers. The giver of an engine is the one of
// them with the highest rendezvous hash of engine and member. Two givers for a moment
// send the same idempotent command.
//
// Comparison. A command leaves only in answer to the engine's own report, which must be
// younger than [MaxReportAge]. An engine that already has the wanted placement, is
// loading, or reports a fence above the revision gets none. While the caller's view is
// not fresh, nothing leaves and all reports are forgotten.
//
// Order. The engines of a model have a fixed order. An engine is commanded while fewer
// than a quarter of the model's engines (at least one) are busy: those that are loading,
// those before it in the order that do not have their wanted placement, and those
// without a report since the plan changed. The last engine in the order that is loading
// has counted all others that are, so the limit holds without a vote while views agree.
// An engine without an answer for [unreachableAfter] is passed over.
//
// Weight store. Each failure domain with managed engines has an equal part of the rate
// and of the concurrent loads, whatever its instances know of other domains; each giver
// has an equal part of that, counted over the live givers of its own domain and rounded
// down. A giver spaces its loads evenly and starts after one such space. While views of
// the domain agree and no giver is replaced, any minute has at most the rate, or one load
// for each domain where the rate is lower than their number, plus the weight sets of one
// command beyond its first for each giver. A giver that is replaced adds its part once
// more in that minute, and its part of the concurrent loads until they end. An instance
// that wrongly counts itself as a giver adds at most the part of its domain.
//
// A long campaign of the property tests:
//
//	go test ./internal/coordination/placement -rapid.checks=20000 -rapid.steps=80 -rapid.seed=0 -timeout 2h
package placement
