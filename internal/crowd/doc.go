// Package crowd tests instances against callers that keep to no limit: many of them hold requests that never end, send
// bodies far over the limit, or read no answer. The tests start the daemon as a process of its own, with low limits, and
// check what does not depend on the speed of the machine: that the process lives, that its memory and its open descriptors
// stay under a bound, and that an ordinary request is answered afterwards.
//
// They need the machine for themselves and are run apart from the others:
//
//	go test -tags crowd -p 1 -count 1 ./internal/crowd
package crowd
