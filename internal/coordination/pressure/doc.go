// Package pressure distributes by gossip which tiers the instances of a failure domain shed.
//
// For each pool, an instance keeps the tiers that any instance of the domain sheds and the age
// of that information. It sends its own entries merged with the received ones, so an entry
// reaches the whole domain in a number of gossip rounds that grows with the logarithm of the
// domain's size. Each entry is sent with its age. Forwarding never reduces the age, so an
// entry that no shedding instance renews expires everywhere after [MaxAge].
//
// The entry with the highest tier takes precedence; of two entries for the same tier the
// younger one is kept. A lower tier takes effect when the entries of higher tiers are stale.
package pressure
