package entry

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/tasks"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

// stopRetryAfter is when the caller of a request that a stopping instance refuses may come back: another instance
// takes the request.
const stopRetryAfter = 50 * time.Millisecond

// operationsStopTimeout bounds the wait for the connections of the operations server.
const operationsStopTimeout = 20 * time.Millisecond

// errInstanceStops ends the requests that are in progress when the grace period is over.
var errInstanceStops = errors.New("the instance stops")

// stop is what a planned stop tells the requests of an instance.
type stop struct {
	answering   context.Context // ends when the requests in progress must be answered, as the process ends
	endRequests context.CancelFunc
}

func newStop() stop {
	answering, endRequests := context.WithCancel(context.Background())
	return stop{answering: answering, endRequests: endRequests}
}

// withRequest returns a context that ends with errInstanceStops when the requests in progress must be answered.
func (s stop) withRequest(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	ignoreStop := context.AfterFunc(s.answering, func() { cancel(errInstanceStops) })
	return ctx, func() { ignoreStop(); cancel(nil) }
}

// refuses reports whether further requests may not end before the process does: the drain delay is over.
func (in *Instance) refuses() bool { return in.life.State() >= lifecycle.Draining }

// stoppingError rejects a request that may not end before the instance does.
func stoppingError() *apierror.Error {
	e := apierror.New(apierror.Draining, "the instance stops; the request did not run")
	e.RetryAfter = stopRetryAfter
	return e
}

// stoppingOrderError rejects an order that may have run before: its caller may be asking again.
func stoppingOrderError() *apierror.Error {
	e := stoppingError()
	e.Message = "the instance stops; this did not run the order, but it may have run before; send it again with the same ticket"
	e.Run = apierror.Unknown
	return e
}

// abortError returns the error of a request that was ended before it was answered: its caller has left, or the
// instance stops.
func abortError(ctx context.Context, mayHaveRun bool) *apierror.Error {
	if context.Cause(ctx) != errInstanceStops {
		return errCallerDisconnected
	}
	if !mayHaveRun {
		return stoppingError()
	}
	e := apierror.New(apierror.UpstreamTimeout, "the instance stops; the request may have run")
	e.Run = apierror.Unknown
	return e
}

// drain performs a graceful shutdown within the grace period. The background tasks go on while requests are in progress.
func (in *Instance) drain(background *tasks.Group) error {
	startedAt := time.Now()
	in.life.Stop(startedAt)
	if in.peers != nil {
		in.peers.gossip.Leave()
	}
	in.log.WithFields(map[string]any{"event": "draining", "in_progress": in.watcher.InProgress()}).Info("draining")
	d := caller.Drain{
		Life:        in.life,
		DelayOver:   in.orders.ledger.StopBeginning, // peers may still forward orders
		EndRequests: func() { in.orders.closeLedger(); in.stop.endRequests() },
	}
	err := in.sockets.Callers.Drain(d)
	if err == nil {
		in.orders.drain(in.life.EndsAt())
	}
	if taskErr := in.stopBackground(background, startedAt); taskErr != nil {
		err = taskErr
	}
	in.log.WithFields(map[string]any{"event": "stopped", "in_progress": in.watcher.InProgress(), "after_ms": time.Since(startedAt).Milliseconds()}).Info("instance stopped")
	return err
}

// stopBackground ends the background tasks and the connections to the platform and to peers. Tasks that don't end soon
// are left to the exit of the process.
func (in *Instance) stopBackground(background *tasks.Group, drainStartedAt time.Time) error {
	background.Stop()
	if in.config != nil {
		in.config.platform.Close()
	}
	if in.peers != nil {
		background.Go("peer_connections", func(context.Context) error {
			return errors.Wrap(in.peers.node.Close(), "close peer node")
		})
	}
	in.stopOperations()
	running, err := background.Wait(tasks.StopTimeout)
	if len(running) > 0 {
		in.log.WithFields(map[string]any{"event": "stop_delayed", "tasks": strings.Join(running, ","), "after_ms": time.Since(drainStartedAt).Milliseconds()}).Warn("background tasks have not ended; stopping without them")
	}
	return err
}

// stopOperations stops the operations server without waiting for connections that readiness probes keep open.
func (in *Instance) stopOperations() {
	ctx, cancel := context.WithTimeout(context.Background(), operationsStopTimeout)
	defer cancel()
	if err := in.operationsServer.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		in.log.WithFields(map[string]any{"event": "operations_listener_failed", "error": err.Error()}).Warn("failed to close operations listener")
	}
}

// handoverTimeout is the least time for the handover of the ledger to another instance.
const handoverTimeout = 100 * time.Millisecond

// closeLedger ends the orders that are not being sent yet as not run.
func (h *orderHandler) closeLedger() {
	h.executeCommands(h.coordinator.CloseLedger(h.instance.now()))
}

// drain closes the ledger, waits for orders in progress at most until a time, and hands the ledger over to a
// successor, which reports those that are left as unknown.
func (h *orderHandler) drain(until time.Time) {
	h.closeLedger()
	caller.AwaitIdle(until, h.inProgress)
	if successor := h.transport.Successor(); !successor.IsZero() {
		h.executeCommands(h.coordinator.Handover(h.instance.now(), successor))
		if least := time.Now().Add(handoverTimeout); until.Before(least) {
			until = least
		}
		caller.AwaitIdle(until, h.inProgress)
	}
}

// inProgress returns the number of background tasks. Messages from peers may start new ones during a wait, which a
// sync.WaitGroup does not allow.
func (h *orderHandler) inProgress() int { return int(h.backgroundTasks.Load()) }

// outcomeAtStop returns the outcome of an order whose instance stops: it is unknown unless it has just been decided.
func outcomeAtStop(decided <-chan orders.Outcome) orders.Outcome {
	select {
	case outcome := <-decided:
		return outcome
	default:
		return orders.Outcome{Kind: orders.Unknown}
	}
}
