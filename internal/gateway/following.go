package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/readers"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

const (
	// maxRecentBytes bounds the changes that are kept for followers.
	maxRecentBytes = 256 << 10
	// maxChangesBytes bounds the changes in one answer to a follower. All followers of a reader get them at
	// the same moment; those that need more ask the platform, whose link is faster.
	maxChangesBytes = 32 << 10
	// maxFollowWait bounds how long a reader holds a call of a follower.
	maxFollowWait = 10 * time.Second
)

// followMessage asks a reader for the changes after a position. It is part of a pullMessage, whose other
// fields an older build answers.
type followMessage struct {
	// WaitMS is how long the answer may be held until there is a change; 0: this is no call of a follower.
	WaitMS int64
	// Confirm asks for the changes that were published before the question, read from the platform after it.
	// An older build does not set Served.
	Confirm bool `msgpack:",omitempty"`
}

// followAnswer is the answer of a reader, part of a pushMessage. An older build leaves it empty.
type followAnswer struct {
	// Served is set by a build that serves followers.
	Served bool
	// Era and Revision are the position up to which the changes are complete.
	Era, Revision uint64
	Changes       []replica.Change
	// Behind is set if the follower needs more changes than the reader keeps or sends; it asks the platform.
	Behind bool
	// AgeMS is the age of the confirmation that the position was current.
	AgeMS int64
	// OutageEnded is set if the reader has noticed an outage of the platform, which ended OutageEndedMS ago.
	OutageEnded   bool
	OutageEndedMS int64
}

// follow asks a reader for changes. Whatever fails, the schedule names another source next.
func (w *platformWatcher) follow(ctx context.Context, question readers.Question) {
	after, _ := w.replica.Position()
	reader := *question.Source
	answer, err := w.askReader(ctx, question, after)
	now := w.gateway.now()
	age := time.Duration(answer.AgeMS) * time.Millisecond
	switch {
	case err != nil:
		w.readerFailed(now, reader, err.Error())
	case !answer.Served:
		w.readerFailed(now, reader, "the build does not serve followers")
	case answer.Era != after.Era:
		w.readerFailed(now, reader, "the reader has seen another era")
	case age > w.schedule.UsefulAge():
		w.readerFailed(now, reader, "the reader's own copy is old")
	case answer.Behind:
		w.schedule.ReadNext()
	default:
		w.gateway.metrics.platformReads.WithLabelValues("reader").Inc()
		w.applyFollowed(now, answer, reader.Name)
		w.schedule.Confirmed(now - age)
	}
}

// applyFollowed applies the changes from a reader. An outage that the reader has noticed defers removals here,
// too: entries lapse while the platform is away.
func (w *platformWatcher) applyFollowed(now time.Duration, answer followAnswer, reader string) {
	if answer.OutageEnded {
		w.replica.RecordOutage(now - time.Duration(answer.OutageEndedMS)*time.Millisecond)
	}
	w.replica.MarkAvailable(now)
	w.applyChanges(answer.Changes, replica.Position{Era: answer.Era, Revision: answer.Revision}, reader)
	w.behind.Store(false)
}

// readerFailed records that a reader did not serve this instance.
func (w *platformWatcher) readerFailed(now time.Duration, reader membership.Member, reason string) {
	w.schedule.Failed(now, reader.Incarnation.Process)
	w.gateway.metrics.platformReads.WithLabelValues("reader_failed").Inc()
	w.gateway.log.WithFields(logrus.Fields{"event": eventlog.ReaderFailed, "peer": reader.Name, "reason": reason}).Debug("a reader did not serve this instance")
}

func (w *platformWatcher) askReader(ctx context.Context, question readers.Question, after replica.Position) (followAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, question.Timeout)
	defer cancel()
	p := w.gateway.peers
	request := p.newPullMessage(after)
	request.Follow = followMessage{WaitMS: question.Wait.Milliseconds()}
	reply, err := p.exchangePull(ctx, *question.Source, request)
	return reply.Follow, err
}

// serveFollower answers a follower when there are changes after its position, or its wait is over.
func (w *platformWatcher) serveFollower(ctx context.Context, after replica.Position, wait time.Duration) followAnswer {
	timer := time.NewTimer(min(wait, maxFollowWait))
	defer timer.Stop()
	for held := true; held; {
		changed := w.changed.Load()
		if position, ok := w.replica.Position(); !ok || position.Compare(after) > 0 || w.lacksArrivingChange(position, after) {
			break
		}
		select {
		case <-*changed:
		case <-timer.C:
			held = false
		case <-ctx.Done():
			held = false
		}
	}
	return w.followAnswer(after)
}

func (w *platformWatcher) followAnswer(after replica.Position) followAnswer {
	now := w.gateway.now()
	age, confirmed := w.schedule.Age(now)
	changes, to, complete := w.recent.After(after)
	answer := followAnswer{Served: true, Era: to.Era, Revision: to.Revision, Changes: changes, AgeMS: age.Milliseconds(), Behind: !confirmed || !complete}
	if !complete {
		position, _ := w.replica.Position()
		answer.Era, answer.Revision = position.Era, position.Revision
	}
	// The follower reads a large change with this instance, not after it.
	if position, _ := w.replica.Position(); len(changes) == 0 && w.lacksArrivingChange(position, after) {
		answer.Behind = true
	}
	if changesSize(changes) > maxChangesBytes {
		answer.Changes, answer.Behind = nil, true
	}
	if endedAt, ok := w.replica.LastOutage(now); ok {
		answer.OutageEnded, answer.OutageEndedMS = true, (now - endedAt).Milliseconds()
	}
	return answer
}

// lacksArrivingChange reports whether a large answer arrives that a follower at a position needs, too. One that is
// ahead of this instance has read it.
func (w *platformWatcher) lacksArrivingChange(position, follower replica.Position) bool {
	return w.largeArrives.Load() && follower.Compare(position) <= 0
}

// changesSize returns the bytes of the keys and values of changes.
func changesSize(changes []replica.Change) int {
	size := 0
	for _, c := range changes {
		size += len(c.Key) + len(c.Value)
	}
	return size
}

// updateReaders chooses the readers of the failure domain among the live instances and this one.
func (p *peers) updateReaders() {
	schedule := p.gateway.platformWatcher.schedule
	members := slices.DeleteFunc(append(p.livePeers(), p.self), func(m membership.Member) bool { return m.FailureDomain != p.self.FailureDomain })
	if schedule.SetMembers(p.self, members, p.gateway.settings.ReadersPerDomain) {
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.ReaderChanged, "reads_platform": schedule.IsReader(), "instances": len(members)}).Info("role of this instance towards the platform changed")
	}
	p.gateway.metrics.readsPlatform.Set(boolValue(schedule.IsReader()))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// exchangePull sends a pull to a peer and returns its answer.
func (p *peers) exchangePull(ctx context.Context, member membership.Member, request pullMessage) (pushMessage, error) {
	var reply pushMessage
	payload, err := msgpack.Marshal(request)
	if err != nil {
		return reply, errors.Wrap(err, "pull")
	}
	answer, err := p.node.Call(ctx, member.TCP, peerwire.ReplicaPull{Payload: payload})
	if err != nil {
		return reply, err
	}
	push, ok := answer.(peerwire.ReplicaPush)
	if !ok {
		return reply, errors.Errorf("answer of type %s", answer.Type())
	}
	return reply, errors.Wrap(msgpack.Unmarshal(push.Payload, &reply), "push")
}
