// Package upstream sends requests to upstreams over HTTP/1.1.
//
// fasthttp encodes and decodes the messages. This package manages the connections itself,
// because the router needs what the client of fasthttp does not report: whether any byte
// of a request can have been sent and whether the connection was reused. It must also be
// able to cancel a request that still waits for its response.
//
// Heads and trailers are checked before fasthttp parses them (package httphead): bytes that are no
// valid HTTP are a failure of their own kind, neither a response nor a lost connection.
//
// A pooled connection is reused only for a short time after its last use, since a
// connection may stop delivering data for good while new ones work. A request that must
// not run twice is sent only on a connection that was dialled for it. An upstream counts
// as unreachable only after a new dial has failed.
package upstream
