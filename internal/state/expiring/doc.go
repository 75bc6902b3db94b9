// Package expiring provides a bounded map whose entries expire and whose least recently
// used entries are evicted when the map is full.
//
// The map is a hash table of nodes that are linked in two lists. One list is ordered by
// expiry: all entries have the same lifetime, so the order of insertion is the order of
// expiry as long as the given times do not decrease. An entry that is inserted with an
// earlier time is sorted in from the end of the list. The other list is ordered by last
// use. Get counts as a use but does not extend the lifetime. Put, Get and Delete take
// constant time.
//
// The number of entries and their total cost are bounded. Put enforces both bounds.
// Expired entries are removed by Put, Get and Expire, so that memory is released without a
// timer. Every entry that is removed other than by Delete is passed to the eviction
// callback, in which an owner that must not lose an entry entirely can keep a smaller
// record of it.
//
// A Map takes the current time as an argument and has no lock; its owner provides the
// locking.
package expiring
