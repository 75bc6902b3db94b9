// Package caller manages the connections from callers: it bounds writes, reads the rest of a
// refused request before a connection closes, and detects callers that close their
// connection while their request is in progress.
package caller
