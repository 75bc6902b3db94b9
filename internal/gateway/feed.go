package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
)

const (
	// watchWait is how long one watch waits for changes. Each watch is a call that counts
	// against the platform's rate.
	watchWait = 10 * time.Second
	// readTimeout bounds a full read, also of a platform that is slow.
	readTimeout = 4 * time.Second
	// firstPause and maxPause bound the pause before a call that failed is repeated.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// lapseGrace is how long entries that lapsed in an outage are kept after the
	// platform's return: live upstreams write them again within two seconds.
	lapseGrace = 1900 * time.Millisecond
	// feedTick is how often held removals are looked at.
	feedTick = 100 * time.Millisecond
)

// feed keeps the copy of one published prefix.
type feed struct {
	g       *Gateway
	prefix  string
	replica *replica.Replica
	apply   func(changes []replica.Change, source string)
}

// feeds are the copies that an instance keeps.
type feeds struct{ configuration, upstreams *feed }

func newFeeds(g *Gateway) feeds {
	d := g.protocols.Decoder
	return feeds{
		configuration: &feed{g: g, prefix: d.ConfigurationPrefix(), replica: replica.New(replica.Options{}), apply: g.applyConfigurationChanges},
		upstreams:     &feed{g: g, prefix: d.UpstreamPrefix(), replica: replica.New(replica.Options{Grace: lapseGrace}), apply: g.applyUpstreamChanges},
	}
}

func (f feeds) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, x := range f.list() {
		group.Go(func() error { return x.follow(ctx) })
		group.Go(func() error {
			return every(ctx, feedTick, func() { x.deliver(x.replica.Tick(x.g.now()), "grace") })
		})
	}
	return group.Wait()
}

func (f feeds) list() []*feed { return []*feed{f.configuration, f.upstreams} }

func (f *feed) loaded() bool {
	_, ok := f.replica.Revision()
	return ok
}

func (f *feed) deliver(changes []replica.Change, source string) {
	if len(changes) > 0 {
		f.apply(changes, source)
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
			f.g.log.WithFields(logrus.Fields{"event": "history_gone", "prefix": f.prefix}).Warn("the platform has dropped the history; reading in full")
			whole = false
			continue
		}
		f.lost(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause + time.Duration(rand.Int64N(int64(pause)))):
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
	f.deliver(f.replica.Load(f.g.now(), s), "platform")
	return nil
}

func (f *feed) watch(ctx context.Context) error {
	after, _ := f.replica.Revision()
	changes, revision, err := f.g.protocols.Source.Watch(ctx, f.prefix, after, watchWait)
	if err != nil {
		return err
	}
	f.regained()
	f.deliver(f.replica.Apply(f.g.now(), changes, revision), "platform")
	return nil
}

func (f *feed) lost(err error) {
	if f.replica.Away() {
		f.g.log.WithFields(logrus.Fields{"event": "platform_lost", "prefix": f.prefix, "error": err.Error()}).Warn("the platform does not answer")
	}
}

func (f *feed) regained() {
	if f.replica.Back(f.g.now()) {
		f.g.log.WithFields(logrus.Fields{"event": "platform_regained", "prefix": f.prefix}).Info("the platform answers again")
	}
}

// merge takes the copy of a peer.
func (f *feed) merge(s replica.Snapshot, peer string) {
	if mine, ok := f.replica.Revision(); ok && s.Revision <= mine {
		return
	}
	f.deliver(f.replica.Load(f.g.now(), s), peer)
}

func (g *Gateway) applyConfigurationChanges(changes []replica.Change, source string) {
	for _, c := range changes {
		if c.Deleted {
			continue // the last configuration stays in force
		}
		configuration, ok, err := g.protocols.Decoder.Configuration(c.Item)
		if err != nil {
			g.log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": c.Revision, "source": source, "error": err.Error()}).Error("configuration cannot be read; the last one stays in force")
			continue
		}
		if ok {
			g.applyConfiguration(configuration, source)
		}
	}
}

func (g *Gateway) applyUpstreamChanges(changes []replica.Change, source string) {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	for _, c := range changes {
		g.applyUpstream(c, source)
	}
	g.distribute()
}

// applyUpstream takes one entry over. The caller holds configuring.
func (g *Gateway) applyUpstream(c replica.Change, source string) {
	fields := logrus.Fields{"event": "upstream_changed", "key": c.Key, "revision": c.Revision, "source": source}
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
