// Package upstream sends requests to upstreams over HTTP/1.1.
//
// The messages are encoded and decoded by fasthttp. Connections are managed here,
// because the router has to know what fasthttp's client does not tell: whether any
// byte of a request can have left, whether the connection was reused, and how to
// cancel a request that still waits for its answer.
//
// A pooled connection is reused only for a short time after its last use, since a
// connection may go silent for good while new ones work. A request that must not
// run twice leaves only on a connection that was dialled for it. An upstream counts
// as unreachable only after a fresh dial failed.
package upstream
