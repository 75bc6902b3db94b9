// Package soak runs instances as separate processes on one machine, injects faults from outside
// and checks the responses to callers and the executions at upstreams against the guarantees.
//
// # Components
//
// The store and the upstreams are the stand-ins of platform/standin and run in this process.
// Each instance is a daemon process. Connections to an upstream pass a loopback proxy, and so
// do each instance's connections to the store. A proxy delays, resets or stalls connections, or
// stalls only the responses. Instances are killed, paused, stopped and told to reload. The store
// fails, compacts its history and publishes new configurations with added routes and revoked
// keys. Upstreams drain, reject requests, interrupt responses and send responses to other
// requests.
//
// # Seeds
//
// The retry plan ([RetryFaults]) makes several upstreams at a time fail, reject or pause, starts a
// part of the instances after the load, and sends requests that crash upstreams. With a low rate
// of requests the fixed part of the retry bound is used up first.
//
// The limit plan ([LimitFaults]) makes upstreams state limits in their answers, while they pause and
// while instances are killed, paused, restarted and added.
//
// The endless plan ([EndlessFaults]) makes upstreams send bytes without end, in each part of a response,
// and checks the memory of the instances while it runs.
//
// The drill plan ([DrillFaults]) makes the store come back from older copies, and upstreams end responses
// without length or chunks halfway, while instances are killed, paused, restarted and cut off. Some requests
// share a part that crashes upstreams, and some callers leave soon.
//
// The release plan ([ReleaseFaults]) replaces upstreams by others of other versions, forwards and back,
// while upstreams crash and break responses and instances in several failure domains are killed, stopped
// and paused. Callers go on at any instance with streams that break off.
//
// The partition plan ([PartitionFaults]) gives each instance links of its own to the upstreams and refuses
// all of those of one instance or of a failure domain; open connections are reset or live on.
//
// The statement plan ([StatementFaults]) makes upstreams state in their answers that they leave, or when
// they want requests again, while instances start late, are killed, stopped and paused.
//
// The removal plan ([RemovalFaults]) removes the entries of upstreams that still serve, while instances in several
// failure domains lose the store for seconds, mostly without an error, and are killed, stopped and paused.
//
// The stop plan ([StopFaults]) stops instances in series, several at a time, while they get hangups and do not run for
// moments. Callers hold connections before they use them, and parts of requests. Some instances have a drain delay for
// which responses announce how long a connection may be used again; callers use connections up to the end of that time,
// also after streams, or ignore it.
//
// The fault plan is a function of the seed and the options, so a run is repeated with its seed.
// The interleaving of the processes is not reproducible.
//
// # Guarantees
//
//   - An order is executed at most once.
//   - A request that is rejected as "not run" has not been and will not be executed.
//   - A successful response is the complete response of an upstream to this request. A stream
//     delivers each event once and in order, and looks complete only if it is.
//   - A running instance responds within the timeout of the route and does not close a
//     connection without a response to a request that it has read.
//   - An instance that reaches the store applies added routes and revoked keys in time.
//   - A change that was in force before the store came back from an older copy stays in force.
//   - A stream holds events of one software version only, over all tries of its caller. While two
//     upstreams of its version serve, it goes on at undisturbed instances at least half as often as new
//     streams begin.
//   - While instances are partitioned from all upstreams, from 3 s on, their callers' first tries are
//     served at least two thirds as often as the others', unless few fail.
//   - An upstream that has told an instance that it leaves gets none of the requests that the instance's
//     callers send more than 2 s later; one that wants no requests for a time gets two at most.
//   - An upstream whose entry has been gone for 2 s gets nothing from instances that have had the store for 3 s.
//   - Once a part of prompts has crashed five upstreams, at most three more requests with it are
//     sent by undisturbed instances.
//   - Nothing is sent to upstreams longer than half a second after its caller has left.
//   - In each retry window the upstreams get no more arrivals beyond the first of each request
//     than the published bound allows, whatever the faults.
//   - An upstream that states a limit gets no more requests than the published bound allows, in sum
//     over the instances that it has told.
//   - A request runs at no more upstreams than its route allows, is given no later deadline than
//     its caller's, and crashes no further upstreams once all instances could know that it does.
//   - A planned stop leaves no request without an answer that was passed on, or that arrived before its connection
//     ended, and ends within the grace period.
//   - A connection stays open for the time announced in Keep-Alive, counted by its caller, unless that reaches into the
//     last 400 ms of the grace period, counted from the stop signal.
//   - After the last fault every instance is ready, has the latest configuration and serves
//     every kind of request.
//   - No process uses more memory than the users' machines allow.
//   - No process exits unexpectedly.
package soak
