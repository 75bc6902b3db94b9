// Package emulator provides stand-ins for the systems around yuccabridge: a model
// engine, a plain HTTP service and the platform. They implement the protocols of the
// design page over loopback TCP and can inject the faults that the page lists.
//
// The engine models continuous batching: each iteration processes a bounded number of
// prompt tokens and generates one token for each running request whose prompt is
// processed. Iterations get slower when the batch exceeds a configured size. The text of
// a token depends only on the request identifier and the token's index, so that a checker
// can verify a response without a copy of it.
//
// The engine accepts placement commands at /placement: a command with a fencing number
// replaces the engine's version, adapters and role. It serves requests while it loads.
//
// Faults are configured by method calls or by POST to /control on the same port.
package emulator
