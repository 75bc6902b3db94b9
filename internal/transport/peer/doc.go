// Package peer provides the transport between instances: TCP connections for requests
// (Node) and the UDP socket of the failure detector (Gossip).
//
// A Node keeps one connection to each peer that it calls. Requests and answers are matched
// by correlation number. Both ends send keep-alive frames; a connection without a frame for
// the liveness timeout is closed, and a call that was waiting on it dials again when its
// message is idempotent. A peer counts as unreachable only when a new dial has failed.
//
// With key files, connections use TLS 1.3 with certificates on both sides; the files are
// read again when they change. Without key files, connections are allowed only between
// loopback addresses or on a private network. Both sides then prove knowledge of a shared
// key in the handshake, and every frame carries a MAC. The certificate proves that a peer
// belongs to the deployment; which instance it is, the peer states in its hello.
package peer
