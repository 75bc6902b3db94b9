// Package soak runs real instances as separate processes on one machine, injects faults from
// outside and checks what callers and upstreams see against the promises.
//
// # Parts
//
// The store and the upstreams are the stand-ins of platform/standin, in this process. Each
// instance is a process of the daemon. A loopback proxy stands before every upstream and
// before the store, one for each instance: it delays, resets, silences connections, or holds
// the answers back. Instances are killed, paused, stopped and told to reload. The store fails,
// forgets its history and publishes new configurations, with routes added and keys revoked;
// upstreams leave, refuse, break off and answer for others.
//
// # Seeds
//
// The plan of faults follows from the seed alone, so a run is repeated with its seed; how the
// processes interleave does not repeat.
//
// # Promises
//
//   - An order runs once at most.
//   - What is refused as "has not run" has not run and does not run later.
//   - A success is the whole answer of an upstream to this request; streams have each event
//     once, in order, and look complete only if they are.
//   - An instance that runs answers within the time limit of the route, and closes no
//     connection on a request that it has read.
//   - An instance that reaches the store knows a route, and a key that is gone, in time.
//   - After the last fault every instance is ready, has the last configuration and serves
//     every kind of request.
//   - No process ends by itself.
package soak
