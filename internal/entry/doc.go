// Package entry implements an entry instance: it accepts requests from callers,
// consults the coordination packages and forwards the requests to upstreams.
//
// A request is processed in these steps: authentication and class selection; the
// quarantine check; the scheduler queue of its model or service (a pool); upstream
// selection by the balancer; and the attempt. An attempt that fails before the first
// byte has been sent to the caller is retried within the retry budget of the class.
// Streams are relayed event by event and are never buffered in full.
//
// Decisions are made by pure state machines. This package supplies them with the time
// and with events, and executes the actions they return.
package entry
