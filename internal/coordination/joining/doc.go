// Package joining decides from when an instance that has started may serve.
//
// What an instance knows of crashing requests is broadcast once and kept nowhere else, so an instance that
// starts asks its peers before it serves. It need not wait any longer than a peer can tell it something new:
//
//   - A peer that has finished joining (a settled one) knows what was broadcast before. Its answer ends the
//     wait.
//   - A peer that is still joining knows as little as this instance. This is the load pattern after a loss of
//     power, when all instances start within a second while their callers come back. When all seeds
//     have answered so, or [UnsettledWait] after the first answer, the wait ends: by then a settled peer
//     would have been found through those that answered.
//   - Without any answer the wait ends after [Timeout]: the peers may be down or cut off.
//
// Requests that arrive meanwhile are held, not rejected; the wait is shorter than what most callers allow.
package joining
