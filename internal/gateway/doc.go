// Package gateway implements a reverse proxy that forwards caller requests unchanged to the
// upstreams of published services and reports to the caller whether a failed request may
// have run.
//
// The package is independent of the protocols of a deployment. An adapter supplies them: a
// [CallerProtocol] parses requests and writes the errors of this instance, an
// [UpstreamProtocol] builds upstream requests and classifies responses, a [PlatformStore]
// reads the published entries and a [Decoder] decodes them.
//
// The code follows the path of a request: server.go (caller connections), configuration.go
// (route, team and service lookup), exchange.go (the lifecycle of a request: admission,
// attempts, final response), attempt.go (one attempt at one upstream), stream.go (event
// streams and their resumption), stream_origin.go (where a stream began), paths.go and relay.go
// (connections to upstreams, directly or through a peer). Published data arrives through platform_watcher.go, data
// from other instances through peers.go and reports.go. Package dispatch selects the
// upstream, queues requests and rejects them.
//
// # Guarantees
//
//   - An error says "not run" only if no byte of the request was sent, or if each upstream
//     that received it stated that it did not run it. Any other error without an upstream
//     response says that the request may have run.
//   - A non-idempotent request is not sent again once a byte of it may have been sent,
//     unless the upstream stated that it did not run it.
//   - A stream goes on only at the service and software version that began it, also when another
//     instance takes it up.
//   - A connection passes one other instance at most, which only relays its bytes.
//   - A stream ends as complete only if its upstream ended it. A resumed stream continues
//     after the last complete event that the caller received.
//   - The work of one request is bounded by its attempts: each turn of a loop over them sends
//     the request, or fails a dial, of which there are at most maxFailedDials, or ends it.
//   - A response that ends with the connection of its upstream may have been broken off. It
//     reaches the caller without a length or chunks, too, so that its end claims nothing more.
package gateway
