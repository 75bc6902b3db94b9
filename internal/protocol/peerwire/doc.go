// Package peerwire encodes the messages between instances: frames over TCP and datagrams over
// UDP, both with msgpack bodies.
//
// A frame is a 4-byte length (big endian, at most MaxFrameBytes), a version byte, a type byte
// and a body: correlation number, reply flag and message. On connections without TLS a frame
// ends with an HMAC-SHA256 over a counter and the frame.
//
// A datagram is a version byte, the process identifier of the sender (16 bytes), a sequence
// number (8 bytes), the body, and an HMAC-SHA256 over everything before it. Sequence numbers
// are checked against a replay window per sender. A receiver that has just started has no
// windows, so it accepts datagrams recorded before its start; the member states in them are
// ordered by incarnation and do not replace newer ones.
//
// Input that is unauthenticated, truncated, too large, malformed or replayed is counted and
// returned as an error, and changes nothing else.
package peerwire
