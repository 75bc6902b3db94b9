// Package caller manages the connections from callers: it bounds writes, reads the rest of a
// refused request before a connection closes, and detects callers that close their
// connection while their request is in progress. [Listener.Drain] ends the service of an instance.
//
// # End of a connection
//
// A connection is known to [Connections] from its acceptance until it is closed: unused, idle between two
// requests, or busy. The HTTP server's own record of idle connections is not used, because it changes only once
// the goroutine that reads has run: a request may have arrived by then. Only that goroutine ends the wait for a
// request, by a timeout or after [Connections.CloseWaiting], and only if the socket holds no bytes.
// [Listener.CloseAfterBacklog] does the same for connections that are not accepted yet.
//
// A response that began before the stop can't announce the end of its connection. It has announced instead for how long
// the connection may be used again (Keep-Alive, [lifecycle.ReuseTimeout]): the connection stays open for that time and a margin, at
// most until the end of the grace period, and the next request gets an answer that announces the end. The time is
// shorter than the drain delay and the idle timeout, so a caller that keeps to it sends on no connection that is being
// closed, except where a response that began before the stop ends so late that the time reaches beyond the end of the
// grace period. The time counts from when the response has arrived: a stop looks for responses that are still on their way.
// For callers that don't keep to it, the connection stays open for a moment after such a response.
//
// The first bytes of a request may have been read with the one before. [Attach] lets the server tell when such a request
// begins, and sends each response at once, so that none waits in the server for the rest of a pipelined request.
//
// # Room for connections and bodies
//
// Callers that nobody controls open many connections and leave their requests unfinished. What they make an instance hold is
// bounded: the number of connections, the bytes of each in the receive buffer of the kernel, and the memory of bodies, which
// an [Intake] reserves before it reads them. Requests that have arrived in full are never ended to make room. At the limit of
// connections, one on which a request does not arrive gives way to a new one: the longest open without a request, then the
// slowest, of the addresses that hold most first. When bodies wait for memory, the slowest of those that hold it and have
// not arrived is ended.
package caller
