// Package entry assembles one entry instance: it accepts callers' requests, lets
// the coordination layer decide, and moves bytes between callers and upstreams.
//
// A request passes these steps: authentication and class; quarantine; the
// scheduler's queue of its model or service (a pool); the balancer's choice of an
// upstream; the exchange; and, where the exchange fails before the first byte
// reached the caller, a retry within the class's budget. Streams are relayed event
// by event and never buffered whole.
//
// The decisions are made by pure state machines; this package only gives them the
// time and the events, and carries out what they return.
package entry
