// Package lifecycle decides what an instance does in each state of its life, from its start to the end of a planned stop.
// Both daemons use it. It holds no timers and no sockets: the callers pass the time, and carry out what it decides.
//
// # States
//
//	Starting --Serve--> Serving --Stop--> Leaving --drain delay over--> Draining
//	Draining --nothing in progress, or grace period nearly over--> Ending --answered, or time over--> Stopped
//
// A stop may begin in Starting, too. Stop and Serve have no effect in any other state, so signals may be repeated.
//
//	            ready  takes connections  answers announce the end  takes requests
//	Starting    no     yes                no                        holds or refuses them
//	Serving     yes    yes                no                        all
//	Leaving     no     yes                yes                       all
//	Draining    no     no                 yes                       those that end before the grace period does
//	Ending      no     no                 yes                       none; those in progress are answered
//	Stopped     no     no                 -                         none
//
// # Connections
//
// A [Connection] is unused, idle, reading or answered. Only one that is unused or idle may be closed by the instance, and
// only once it has looked for bytes that have arrived. Until when it may wait for a request follows from what its caller
// has been told: see [Connection.WaitUntil] and [Connection.WaitInStopUntil].
//
// # Bounds
//
// The process ends within the grace period; [Life.EndsAt] is earlier than that by the time for the last answers and the
// exit. Without anything in progress it ends right after the drain delay.
package lifecycle
