package gateway

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/readers"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/tasks"
)

const (
	// callTimeFraction is the fraction of the freshness bound reserved for the call that
	// follows a watch.
	callTimeFraction = 0.1
	// memberWaitFraction is the fraction of the freshness bound between the first read of an instance and its
	// next call. Gossip takes a few hundred milliseconds to name the members.
	memberWaitFraction = 0.25
	// followerBackoffFraction is the fraction of the freshness bound that bounds the pause of an instance that
	// is no reader.
	followerBackoffFraction = 0.25
	// minWatchPause lets changes in quick succession share a call.
	minWatchPause = 100 * time.Millisecond
	// fullReadTimeout bounds a full read, whose calls have limits of their own: the platform must still have the
	// changes since its first page.
	fullReadTimeout = 12 * time.Second
	// initialBackoff and maxBackoff bound the pause before a failed call is retried.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// expiredEntryGrace is how long entries that expired during an outage are kept after
	// the platform has returned; by then most live upstreams have published theirs again.
	// It must stay below two seconds, the bound for a removal with another cause to take
	// effect.
	expiredEntryGrace = 1600 * time.Millisecond
	// maxFailedWatches is the number of watches that fail one after the other before everything is read in
	// full, in pages: the changes may be too large for the time of one call.
	maxFailedWatches = 2
	// removalCheckInterval is how often delayed removals are checked.
	removalCheckInterval = 100 * time.Millisecond
)

// platformWatcher maintains a replica of the published entries. A single watch covers all
// of them because each call counts against the platform's rate limit. Instances that are no readers learn
// the changes from those that are; see following.go.
type platformWatcher struct {
	gateway *Gateway
	prefix  string
	replica *replica.Replica
	// applyMu is held while changes are decided by the replica and carried out, so that they take effect in the
	// order in which they were decided.
	applyMu sync.Mutex
	// watchPause is the delay between a watch that returned changes and the next one.
	watchPause time.Duration

	schedule *readers.Schedule
	paused   time.Duration // since the last answer; used by syncLoop only
	// platformLost is set while the platform itself does not answer, and lostAt is when that began; used by
	// syncLoop only.
	platformLost bool
	lostAt       time.Duration
	// failedWatches counts the watches that have failed one after the other; used by syncLoop only.
	failedWatches int
	// behind is set from a ping that ended an outage until the changes since then have been read.
	behind  atomic.Bool
	recent  *replica.Recent               // for followers
	changed atomic.Pointer[chan struct{}] // closed when the position changes, or a large answer arrives
	// largeArrives is set while a large answer to the watch arrives.
	largeArrives atomic.Bool
	// confirmations read what was published until a request arrived, platformConfirmations from the platform
	// itself.
	confirmations, platformConfirmations confirmations
}

func newPlatformWatcher(g *Gateway) *platformWatcher {
	w := &platformWatcher{gateway: g, prefix: g.adapter.Decoder.Prefix()}
	w.replica = replica.New(replica.Options{GracePeriod: expiredEntryGrace, IsOlder: w.isOlderUpstream})
	freshness := g.settings.Freshness.Std()
	w.watchPause = max(minWatchPause, time.Duration((1-readers.WatchWaitFraction-callTimeFraction)*float64(freshness))-WatchTimeoutMargin)
	w.schedule = readers.NewSchedule(freshness)
	w.recent = replica.NewRecent(maxRecentBytes)
	w.signalChange()
	return w
}

// signalChange wakes the calls of followers that wait for a change.
func (w *platformWatcher) signalChange() {
	next := make(chan struct{})
	if previous := w.changed.Swap(&next); previous != nil {
		close(*previous)
	}
}

func (w *platformWatcher) start(background *tasks.Group) {
	background.Go("platform_sync", w.syncLoop)
	background.Go("platform_removals", func(ctx context.Context) error {
		return periodic.Run(ctx, removalCheckInterval, w.applyDueRemovals)
	})
}

// isCurrent reports whether the copy was known to be current within the freshness bound. Upstreams are
// published for longer than that, even those that crash.
func (w *platformWatcher) isCurrent() bool {
	age, ok := w.schedule.Age(w.gateway.now())
	return ok && age <= w.gateway.settings.Freshness.Std()
}

func (w *platformWatcher) hasSnapshot() bool {
	_, ok := w.replica.Position()
	return ok
}

// isOlderUpstream reports whether item, of the older copy from which the platform has come back, shows an
// upstream in a state before held: it was removed since, leaves or is another process. An older
// configuration is recognised by its version.
func (w *platformWatcher) isOlderUpstream(held *replica.Item, item replica.Item) bool {
	decoder := w.gateway.adapter.Decoder
	if decoder.IsConfiguration(item.Key) {
		return false
	}
	if held == nil {
		return true
	}
	before, err := decoder.Upstream(*held)
	if err != nil {
		return false // it names no upstream that could be lost
	}
	shown, err := decoder.Upstream(item)
	if err != nil {
		return true
	}
	if before.Incarnation != shown.Incarnation {
		return isLaterStart(before.Incarnation, shown.Incarnation)
	}
	return before.Leaving && !shown.Leaving
}

// isLaterStart compares incarnations, which are times in decimal.
func isLaterStart(a, b string) bool {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) > 0
}

// apply carries out changes that the replica has decided. The caller must hold applyMu.
func (w *platformWatcher) apply(changes []replica.Change, source string) {
	for _, deferred := range w.replica.TakeDeferred() {
		w.gateway.log.WithFields(logrus.Fields{"event": eventlog.RemovalDeferred, "key": deferred.Key, "revision": deferred.Revision, "source": source,
			"platform_available": !w.replica.Unavailable()}).Info("entry is missing around an outage of the platform; keeping the upstream for now")
	}
	if len(changes) > 0 {
		w.gateway.applyChanges(changes, source)
	}
}

// applyDueRemovals carries out the removals whose grace period has passed.
func (w *platformWatcher) applyDueRemovals() {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	w.apply(w.replica.ApplyDueRemovals(w.gateway.now()), "grace")
	deferred, _ := w.replica.Pending()
	w.gateway.metrics.deferredRemovals.Set(float64(deferred))
}

// syncLoop reads the prefix in full, then watches it. It repeats the full read if the
// platform has compacted the changes since the last watch, or if they do not arrive in time again and again.
func (w *platformWatcher) syncLoop(ctx context.Context) error {
	synced, started := false, false
	backoff := initialBackoff
	for ctx.Err() == nil {
		var err error
		if synced {
			err = w.watch(ctx)
		} else {
			err = w.readAll(ctx)
		}
		switch {
		case err == nil && !started:
			synced, started = true, true
			w.awaitMembers(ctx)
			continue
		case err == nil:
			synced, backoff = true, initialBackoff
			continue
		case errors.Is(err, ErrNewEra):
			w.markAvailable()
			synced = false
			continue
		case errors.Is(err, ErrHistoryCompacted), errors.Is(err, ErrChangesTooLarge):
			w.markAvailable()
			w.gateway.log.WithFields(logrus.Fields{"event": eventlog.HistoryTruncated, "prefix": w.prefix, "reason": err.Error()}).Warn("platform history not available; repeating the full read")
			synced = false
			continue
		}
		w.markUnavailable(err)
		if w.failedWatches >= maxFailedWatches {
			synced, w.failedWatches = false, 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + time.Duration(rand.Int64N(int64(backoff/2)))):
		}
		backoff = min(2*backoff, w.backoffLimit())
	}
	return nil
}

// backoffLimit is the longest pause before a failed call is retried. When the platform is away for all, the
// retries of the followers, of which there are many, cost the most calls.
func (w *platformWatcher) backoffLimit() time.Duration {
	if w.schedule.IsReader() {
		return maxBackoff
	}
	return max(maxBackoff, time.Duration(followerBackoffFraction*float64(w.gateway.settings.Freshness)))
}

// awaitMembers gives an instance that has just read everything the time to learn who reads for its failure
// domain, so that not every instance that starts watches the platform.
func (w *platformWatcher) awaitMembers(ctx context.Context) {
	if w.gateway.peers == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(memberWaitFraction * float64(w.gateway.settings.Freshness))):
	}
}

// probe pings the platform if it did not answer the last call. The end of an outage must be noticed soon, however long
// the changes since then take to arrive.
func (w *platformWatcher) probe(ctx context.Context) error {
	if !w.platformLost || !w.hasSnapshot() {
		return nil
	}
	if err := w.gateway.adapter.Store.Ping(ctx); err != nil {
		return err
	}
	w.behind.Store(true)
	w.markAvailable()
	return nil
}

func (w *platformWatcher) readAll(ctx context.Context) error {
	if err := w.probe(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fullReadTimeout)
	defer cancel()
	snapshot, err := w.gateway.adapter.Store.Read(ctx, w.prefix)
	if err != nil {
		return err
	}
	if position, ok := w.replica.Position(); ok && snapshot.Era != 0 && snapshot.Era < position.Era {
		return errOldEra
	}
	w.markAvailable()
	w.failedWatches = 0
	w.applySnapshot(snapshot, "platform")
	w.behind.Store(false)
	w.schedule.Confirmed(w.gateway.now())
	return nil
}

// errOldEra reports an answer of an era that has ended.
var errOldEra = errors.New("the answer is of an era that has ended")

// applySnapshot applies a snapshot and logs a new era.
func (w *platformWatcher) applySnapshot(snapshot replica.Snapshot, source string) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	before, loaded := w.replica.Position()
	if loaded && !w.isCurrent() {
		w.gateway.versions.Interrupted(w.gateway.now())
	}
	changes := w.replica.ApplySnapshot(w.gateway.now(), snapshot)
	if after, _ := w.replica.Position(); after != before || !loaded {
		w.recent.Reset(after)
		defer w.signalChange()
	}
	if after, _ := w.replica.Position(); loaded && after.Era != before.Era {
		deferred, withheld := w.replica.Pending()
		w.gateway.log.WithFields(logrus.Fields{"event": eventlog.EraChanged, "prefix": w.prefix, "source": source, "era": after.Era, "previous": before.Era,
			"revision": after.Revision, "previous_revision": before.Revision, "changed": len(changes), "deferred": deferred, "withheld": withheld,
		}).Warn("the platform has come back from an older copy")
	}
	w.apply(changes, source)
}

// watch learns of the next changes, from a reader or from the platform.
func (w *platformWatcher) watch(ctx context.Context) error {
	question := w.schedule.Next(w.gateway.now(), w.paused)
	w.paused = 0
	if question.Source != nil {
		w.follow(ctx, question)
		return nil
	}
	if err := w.probe(ctx); err != nil {
		return err
	}
	after, _ := w.replica.Position()
	w.gateway.metrics.platformReads.WithLabelValues("platform").Inc()
	changes, position, err := w.gateway.adapter.Store.Watch(ctx, w.prefix, after, question.Wait, func() {
		w.largeArrives.Store(true)
		w.signalChange()
	})
	w.largeArrives.Store(false) // before the position changes: a follower at the new one has all
	if err != nil {
		w.failedWatches++
		return err
	}
	w.failedWatches = 0
	w.markAvailable()
	w.applyChanges(changes, position, "platform")
	w.behind.Store(false)
	w.schedule.Confirmed(w.gateway.now())
	if len(changes) > 0 {
		w.paused = w.watchPause
		select {
		case <-ctx.Done():
		case <-time.After(w.watchPause):
		}
	}
	return nil
}

// applyChanges applies the changes between the position of the replica and another one.
func (w *platformWatcher) applyChanges(changes []replica.Change, position replica.Position, source string) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	before, _ := w.replica.Position()
	applied := w.replica.ApplyChanges(w.gateway.now(), changes, position)
	if position.Compare(before) > 0 {
		w.recent.Add(before, changes, position)
		defer w.signalChange()
	}
	w.apply(applied, source)
}

// markUnavailable records that the platform does not answer. While others bring the copy up to date, this
// is logged once.
func (w *platformWatcher) markUnavailable(err error) {
	w.replica.MarkUnavailable()
	w.schedule.PlatformFailed(w.gateway.now())
	w.gateway.metrics.platformAvailable.Set(0)
	if !w.platformLost {
		w.platformLost, w.lostAt = true, w.gateway.now()
		w.gateway.log.WithFields(logrus.Fields{"event": eventlog.PlatformUnavailable, "prefix": w.prefix, "error": err.Error()}).Warn("platform unavailable")
	}
}

// markAvailable records that the platform answers.
func (w *platformWatcher) markAvailable() {
	w.replica.MarkAvailable(w.gateway.now())
	w.schedule.PlatformAnswered()
	w.gateway.metrics.platformAvailable.Set(1)
	if w.platformLost {
		w.platformLost = false
		deferred, _ := w.replica.Pending()
		w.gateway.log.WithFields(logrus.Fields{"event": eventlog.PlatformRecovered, "prefix": w.prefix, "after_ms": (w.gateway.now() - w.lostAt).Milliseconds(), "deferred": deferred}).Info("platform available again")
	}
}

// mergePeerSnapshot applies the snapshot of a peer if it is newer.
func (w *platformWatcher) mergePeerSnapshot(snapshot replica.Snapshot, peer string) {
	if position, ok := w.replica.Position(); ok && snapshot.Position().Compare(position) <= 0 {
		return
	}
	w.applySnapshot(snapshot, peer)
}

// confirmRemovals carries out deferred removals that have taken effect at a peer.
func (w *platformWatcher) confirmRemovals(confirmed []replica.EntryState, peer string) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	w.apply(w.replica.ConfirmRemovals(confirmed), peer)
}

// applyChanges applies changed entries. The configuration comes first because it defines
// the services.
func (g *Gateway) applyChanges(changes []replica.Change, source string) {
	var upstreams []replica.Change
	position, _ := g.platformWatcher.replica.Position()
	for _, c := range changes {
		if domain, ok := g.adapter.Decoder.EvacuatedDomain(c.Key); ok {
			g.applyEvacuationChange(domain, c, position.Era, source)
			continue
		}
		if !g.adapter.Decoder.IsConfiguration(c.Key) {
			upstreams = append(upstreams, c)
			continue
		}
		if c.Deleted {
			continue // keep the current configuration
		}
		g.applyConfigurationItem(c.Item, source)
	}
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	for _, c := range upstreams {
		g.applyUpstream(c, source)
	}
	g.assignUpstreams()
}

// applyConfigurationItem applies a published configuration if its version is newer. The version alone
// decides, in any era of the platform: a version that was in force stays so.
func (g *Gateway) applyConfigurationItem(item replica.Item, source string) {
	fields := logrus.Fields{"event": eventlog.ConfigurationRefused, "revision": item.Revision, "source": source}
	configuration, err := g.adapter.Decoder.Configuration(item)
	if err != nil {
		g.log.WithFields(fields).WithField("error", err.Error()).Error("failed to decode configuration; keeping the current one")
		return
	}
	g.publishedMu.Lock()
	defer g.publishedMu.Unlock()
	current := g.published
	switch {
	case current == nil || configuration.Version > current.version:
		g.published = &publishedConfiguration{version: configuration.Version, item: item}
		g.applyConfiguration(configuration, source)
	case configuration.Version == current.version && !bytes.Equal(item.Value, current.item.Value):
		g.log.WithFields(fields).WithField("version", configuration.Version).Error("the version in force was published again with other content; keeping the first")
	}
}

// publishedConfiguration is the newest configuration that was published.
type publishedConfiguration struct {
	version uint64
	item    replica.Item
}

// configurationNewerThan returns the entry of the configuration if its version is newer, nil otherwise.
func (g *Gateway) configurationNewerThan(version uint64) *replica.Item {
	g.publishedMu.Lock()
	defer g.publishedMu.Unlock()
	if g.published == nil || g.published.version <= version {
		return nil
	}
	return &g.published.item
}

// configurationPosition returns the newest version that was published, and its position; zero if there is none.
func (g *Gateway) configurationPosition() (version uint64, at replica.Position) {
	g.publishedMu.Lock()
	defer g.publishedMu.Unlock()
	if g.published == nil {
		return 0, replica.Position{}
	}
	return g.published.version, g.published.item.Position()
}

// configurationVersion returns the newest version that was published; 0 if there is none.
func (g *Gateway) configurationVersion() uint64 {
	version, _ := g.configurationPosition()
	return version
}

// applyUpstream applies one changed entry. The caller must hold configurationMu.
func (g *Gateway) applyUpstream(c replica.Change, source string) {
	fields := logrus.Fields{"event": eventlog.UpstreamChanged, "key": c.Key, "revision": c.Revision, "source": source}
	old, known := g.upstreams[c.Key]
	if c.Deleted {
		if known {
			delete(g.upstreams, c.Key)
			delete(g.coldUntil, c.Key)
			g.log.WithFields(fields).WithField("state", "gone").Info("upstream removed")
		}
		return
	}
	u, err := g.adapter.Decoder.Upstream(c.Item)
	if err != nil {
		// The entry was written by something other than an upstream.
		delete(g.upstreams, c.Key)
		delete(g.coldUntil, c.Key)
		g.log.WithFields(fields).WithField("error", err.Error()).Warn("entry does not describe an upstream")
		return
	}
	g.upstreams[c.Key] = u
	delete(g.coldUntil, c.Key)
	if u.ColdFor > 0 {
		g.coldUntil[c.Key] = g.now() + u.ColdFor
	}
	g.versions.Seen(g.now(), u.Service, u.Version)
	if !known || old != u {
		state := "serving"
		if u.Leaving {
			state = "leaving"
		}
		g.log.WithFields(fields).WithFields(logrus.Fields{"state": state, "upstream": u.ID, "service": u.Service, "version": u.Version, "address": u.Address}).Info("upstream published")
	}
}
