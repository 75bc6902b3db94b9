// Package expiring provides a bounded map whose entries expire and whose least recently
// used entries are evicted when the map is full.
//
// The map is a hash table over nodes that are linked in two lists. One list is ordered
// by expiry: all entries live equally long, so the order of insertion is the order of
// expiry as long as the given times do not decrease; an entry inserted with an earlier
// time is sorted in from the end of the list. The other list is ordered by use. Get
// refreshes the use, never the expiry. Put, Get and Delete take constant time.
//
// Bounds are a number of entries and a total cost, both enforced by Put. Expired entries
// are removed by Put, Get and Expire, so that memory is returned without a timer. Every
// entry that leaves other than through Delete is passed to the eviction callback: owners
// that must not forget an entry entirely keep a smaller record from there.
//
// A Map takes the time as an argument and has no lock: its owner holds one.
package expiring
