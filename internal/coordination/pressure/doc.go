// Package pressure spreads which tiers the instances of a failure domain shed.
//
// For each pool an instance keeps the highest tier that any instance sheds, with the
// age of that news. It sends its own news merged with what it has heard, so the news
// passes through the domain in a number of rounds that grows with the logarithm of
// its size. Each entry travels with its age: passing it on never makes it
// younger, so news that is not renewed by an instance that still sheds is gone
// everywhere after [Staleness].
//
// An entry with a higher tier replaces one with a lower tier; among equal tiers the
// younger entry counts. A lower tier takes over when the higher one has become stale.
package pressure
