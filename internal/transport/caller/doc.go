// Package caller holds the connections of callers: it bounds writes, reads the rest of a
// refused request before a connection closes, and notices callers that leave while their
// request is in progress.
package caller
