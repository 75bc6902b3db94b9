// Package emulator holds stand-ins for the systems around yuccabridge: a model
// engine, a plain service and the platform. They speak the protocols of the design
// page over loopback TCP and can be made to fail in the ways that the page lists.
//
// The engine models continuous batching: each iteration spends time on a share of
// the waiting prompt tokens and produces one token for each running request; the
// iteration gets slower when the batch exceeds a comfortable size. The text of a
// token depends only on the request's identifier and the token's index, so that a
// checker can verify each answer without a copy of it.
//
// The engine takes control commands at /placement: a command with a fencing number
// replaces its version, adapters and role. It serves requests while it loads.
//
// Switches are set through methods or by POST to /control on the same port.
package emulator
