package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
)

const (
	// watchShare is the part of the freshness that one watch waits for changes. A watch that
	// was cut hears nothing and gets no answer, so it must end well within it.
	watchShare = 0.6
	// watchMargin is the part of the freshness that is left for the call after the watch.
	watchMargin = 0.1
	// minWatchPause lets changes that come one after the other share a call.
	minWatchPause = 100 * time.Millisecond
	// readTimeout bounds a full read, also of a platform that is slow.
	readTimeout = 4 * time.Second
	// firstPause and maxPause bound the pause before a call that failed is repeated.
	firstPause = 30 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// lapseGrace is how long entries that lapsed in an outage are kept after the
	// platform's return: most live upstreams have written them again by then. A removal
	// that has another cause must take effect within two seconds of it.
	lapseGrace = 1600 * time.Millisecond
	// feedTick is how often held removals are looked at.
	feedTick = 100 * time.Millisecond
)

// feed keeps the copy of what the platform publishes. One watch covers all of it: each call
// counts against the platform's rate.
type feed struct {
	g       *Gateway
	prefix  string
	replica *replica.Replica
	// wait is how long a watch waits, pause the time between a watch that brought changes
	// and the next.
	wait, pause time.Duration
}

func newFeed(g *Gateway) *feed {
	f := &feed{g: g, prefix: g.protocols.Decoder.Prefix(), replica: replica.New(replica.Options{GracePeriod: lapseGrace})}
	freshness := g.settings.Freshness.Std()
	f.wait = time.Duration(watchShare * float64(freshness))
	f.pause = max(minWatchPause, time.Duration((1-watchShare-watchMargin)*float64(freshness))-WatchSlack)
	return f
}

func (f *feed) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error {
		return periodic.Run(ctx, feedTick, func() { f.deliver(f.replica.ApplyDueRemovals(f.g.now()), "grace") })
	})
	return group.Wait()
}

func (f *feed) loaded() bool {
	_, ok := f.replica.Revision()
	return ok
}

func (f *feed) deliver(changes []replica.Change, source string) {
	if len(changes) > 0 {
		f.g.applyChanges(changes, source)
	}
}

// follow reads the prefix in full, then watches it, and reads it again when the platform
// has dropped the history in between.
func (f *feed) follow(ctx context.Context) error {
	whole := false
	pause := firstPause
	for ctx.Err() == nil {
		var err error
		if whole {
			err = f.watch(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case err == nil:
			whole, pause = true, firstPause
			continue
		case errors.Is(err, ErrHistoryGone):
			f.g.log.WithFields(logrus.Fields{"event": eventlog.HistoryTruncated, "prefix": f.prefix}).Warn("the platform has dropped the history; reading in full")
			whole = false
			continue
		}
		f.lost(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + time.Duration(rand.Int64N(int64(pause/2)))):
		}
		pause = min(2*pause, maxPause)
	}
	return nil
}

func (f *feed) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := f.g.protocols.Source.Read(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.regained()
	f.deliver(f.replica.ApplySnapshot(f.g.now(), s), "platform")
	return nil
}

func (f *feed) watch(ctx context.Context) error {
	after, _ := f.replica.Revision()
	changes, revision, err := f.g.protocols.Source.Watch(ctx, f.prefix, after, f.wait)
	if err != nil {
		return err
	}
	f.regained()
	f.deliver(f.replica.ApplyChanges(f.g.now(), changes, revision), "platform")
	if len(changes) > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(f.pause):
		}
	}
	return nil
}

func (f *feed) lost(err error) {
	if f.replica.MarkUnavailable() {
		f.g.log.WithFields(logrus.Fields{"event": eventlog.PlatformUnavailable, "prefix": f.prefix, "error": err.Error()}).Warn("the platform does not answer")
	}
}

func (f *feed) regained() {
	if f.replica.MarkAvailable(f.g.now()) {
		f.g.log.WithFields(logrus.Fields{"event": eventlog.PlatformRecovered, "prefix": f.prefix}).Info("the platform answers again")
	}
}

// merge takes the copy of a peer.
func (f *feed) merge(s replica.Snapshot, peer string) {
	if mine, ok := f.replica.Revision(); ok && s.Revision <= mine {
		return
	}
	f.deliver(f.replica.ApplySnapshot(f.g.now(), s), peer)
}

// applyChanges takes changed entries over: the configuration first, since it says which
// services there are.
func (g *Gateway) applyChanges(changes []replica.Change, source string) {
	var upstreams []replica.Change
	for _, c := range changes {
		if !g.protocols.Decoder.IsConfiguration(c.Key) {
			upstreams = append(upstreams, c)
			continue
		}
		if c.Deleted {
			continue // the last configuration stays in force
		}
		configuration, err := g.protocols.Decoder.Configuration(c.Item)
		if err != nil {
			g.log.WithFields(logrus.Fields{"event": eventlog.ConfigurationRefused, "revision": c.Revision, "source": source, "error": err.Error()}).Error("configuration cannot be read; the last one stays in force")
			continue
		}
		g.applyConfiguration(configuration, source)
	}
	g.configuring.Lock()
	defer g.configuring.Unlock()
	for _, c := range upstreams {
		g.applyUpstream(c, source)
	}
	g.distribute()
}

// applyUpstream takes one entry over. The caller holds configuring.
func (g *Gateway) applyUpstream(c replica.Change, source string) {
	fields := logrus.Fields{"event": eventlog.UpstreamChanged, "key": c.Key, "revision": c.Revision, "source": source}
	old, known := g.upstreams[c.Key]
	if c.Deleted {
		if known {
			delete(g.upstreams, c.Key)
			g.log.WithFields(fields).WithField("state", "gone").Info("upstream is gone")
		}
		return
	}
	u, err := g.protocols.Decoder.Upstream(c.Item)
	if err != nil {
		// An entry of another writer names no upstream.
		delete(g.upstreams, c.Key)
		g.log.WithFields(fields).WithField("error", err.Error()).Warn("entry names no upstream")
		return
	}
	g.upstreams[c.Key] = u
	if !known || old != u {
		state := "serving"
		if u.Leaving {
			state = "leaving"
		}
		g.log.WithFields(fields).WithFields(logrus.Fields{"state": state, "upstream": u.ID, "service": u.Service, "address": u.Address}).Info("upstream published")
	}
}
