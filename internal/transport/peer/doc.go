// Package peer holds the sockets between instances: TCP connections for requests
// (Node) and the UDP loop of the failure detector (Gossip).
//
// A Node keeps one connection to each peer that it calls. Requests and answers are
// matched by correlation number. Both ends send keep-alive frames; a connection that
// is silent for the liveness time is closed, and a call that was waiting on it dials
// anew when its message may be repeated. A peer counts as unreachable only when a
// fresh dial has failed.
//
// With key files, connections use TLS 1.3 with certificates on both sides; the files
// are read again when they change. Without, connections are allowed only between
// loopback addresses, prove the knowledge of a shared key on connect, and carry a MAC
// in every frame. The certificate shows that a peer belongs to the deployment; which
// instance it is, it says itself in its hello.
package peer
