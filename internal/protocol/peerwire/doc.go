// Package peerwire encodes what instances send to each other: frames over TCP and
// datagrams over UDP, both with msgpack bodies.
//
// A frame is a 4-byte length (big endian, at most MaxFrame), a version byte, a type
// byte, and a body: correlation number, reply flag and message. On connections
// without TLS a frame ends with an HMAC-SHA256 over a counter and the frame.
//
// A datagram is a version byte, the sender's process (16 bytes), a sequence number (8
// bytes), the body and an HMAC-SHA256 over all before it. Sequence numbers are
// checked against a replay window per sender. A receiver that has just started has
// no windows, so recordings from before its start pass; claims in them are ordered
// by incarnation and change nothing that is newer.
//
// Everything that cannot be authenticated, is cut off, too large, malformed or
// replayed is an error, is counted, and changes nothing.
package peerwire
