// Package gateway forwards requests of callers to the upstreams of published services,
// unchanged, and answers for what happens to them on the way.
//
// It knows no protocol of a deployment: a [CallerProtocol] reads requests and writes this
// instance's own answers, an [UpstreamProtocol] builds calls and reads answers, a [Source]
// reads what the platform publishes and a [Decoder] translates it. An adapter implements
// them.
//
// A request passes through these files: server.go (connections of callers), routes.go
// (route, team, service), exchange.go (the life of one request: admission, attempts, final
// answer), attempt.go (one upstream), stream.go (events, resume). What the instance knows
// comes from feed.go (platform) and peers.go (other instances). Where a request runs, how
// it waits and when it is rejected is decided by package dispatch.
//
// # Promises
//
//   - "Not run" is answered only if no byte of the request has left, or if each upstream
//     that received it said that it did not run it. Any other end without an answer is
//     "may have run".
//   - A request that may run only once is not sent again after a byte of it may have left,
//     unless the upstream said that it did not run it.
//   - A stream ends as complete only if its upstream ended it. A resumed stream goes on
//     behind the last whole event that the caller received.
package gateway
