package gateway

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/evacuation"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/coordination/streamorigin"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/tasks"
)

// keyDecoder decodes an entry to an upstream of its key.
type keyDecoder struct{ prefixDecoder }

func (keyDecoder) IsConfiguration(key string) bool { return key == "configuration" }

func (keyDecoder) EvacuatedDomain(string) (string, bool) { return "", false }

func (keyDecoder) Configuration(item replica.Item) (*Configuration, error) {
	return &Configuration{Version: item.Revision, Services: []Service{{Name: "svc"}}}, nil
}

func (keyDecoder) Upstream(item replica.Item) (Upstream, error) {
	return Upstream{ID: item.Key, Service: "svc", Address: item.Key, Slots: 1, Leaving: string(item.Value) == "leaving"}, nil
}

// outageStore is a PlatformStore that can be silent: calls made meanwhile are never answered, also after its end,
// and time out.
type outageStore struct {
	mu        sync.Mutex
	silent    bool
	revision  uint64
	compacted uint64        // watches from earlier revisions are refused
	transfer  time.Duration // of an answer that holds changes, over a slow link
	items     map[string]replica.Item
	history   []replica.Change
	changed   chan struct{}
}

func newOutageStore(keys ...string) *outageStore {
	s := &outageStore{items: map[string]replica.Item{}, changed: make(chan struct{})}
	for _, key := range keys {
		s.put(key, "ready")
	}
	return s
}

// record adds a change to the history. The caller must hold mu.
func (s *outageStore) record(c replica.Change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *outageStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := replica.Item{Key: key, Value: []byte(value), Revision: s.revision}
	s.items[key] = item
	s.record(replica.Change{Item: item})
}

func (s *outageStore) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(replica.Change{Item: replica.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *outageStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *outageStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

func (s *outageStore) snapshot() replica.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return replica.Snapshot{Revision: s.revision, Items: slices.Collect(maps.Values(s.items))}
}

var errUnanswered = errors.New("timeout")

// answers reports whether a call is answered; if not, it returns when the call has timed out.
func (s *outageStore) answers(ctx context.Context, timeout time.Duration) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
	}
	return !silent
}

func (s *outageStore) Read(ctx context.Context, _ string) (replica.Snapshot, error) {
	const callTimeout = 2 * time.Second // as of the platform's client
	if !s.answers(ctx, callTimeout) {
		return replica.Snapshot{}, errUnanswered
	}
	return s.snapshot(), nil
}

func (s *outageStore) Ping(ctx context.Context) error {
	if !s.answers(ctx, PingTimeout) {
		return errUnanswered
	}
	return nil
}

func (s *outageStore) Watch(ctx context.Context, _ string, after replica.Position, wait time.Duration, _ func()) ([]replica.Change, replica.Position, error) {
	if !s.answers(ctx, wait+WatchTimeoutMargin) {
		return nil, after, errUnanswered
	}
	timer, timeout := time.After(wait), time.After(wait+WatchTimeoutMargin)
	for {
		s.mu.Lock()
		revision, changed, compacted := s.revision, s.changed, s.compacted
		var changes []replica.Change
		for _, c := range s.history {
			if c.Revision > after.Revision {
				changes = append(changes, c)
			}
		}
		s.mu.Unlock()
		if after.Revision < compacted {
			return nil, after, ErrHistoryCompacted
		}
		if len(changes) > 0 {
			select {
			case <-time.After(s.transfer):
				return changes, replica.Position{Revision: revision}, nil
			case <-timeout:
				return nil, after, errUnanswered
			}
		}
		select {
		case <-changed:
		case <-timer:
			return nil, replica.Position{Revision: revision}, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// newWatchingGateway returns a gateway without sockets and peers that watches the store until the test ends.
func newWatchingGateway(t *testing.T, store PlatformStore, decoder Decoder) *Gateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &Gateway{
		settings: &settings.Gateway{Freshness: config.Duration(2 * time.Second)}, adapter: Adapter{Store: store, Decoder: decoder}, log: log, evacuations: evacuation.New(),
		metrics: newMetrics(), startedAt: time.Now(), versions: streamorigin.NewVersionHistory(false),
		upstreams: map[string]Upstream{}, services: map[string]*service{},
	}
	g.paths = newUpstreamPaths(g)
	g.platformWatcher = newPlatformWatcher(g)
	return g
}

// watch runs the platform watcher until the test ends.
func (g *Gateway) watch(t *testing.T) {
	background := tasks.NewGroup()
	g.platformWatcher.start(background)
	t.Cleanup(func() {
		background.Stop()
		if running, _ := background.Wait(time.Minute); len(running) > 0 {
			t.Errorf("%v run on", running)
		}
	})
}

// publishes reports whether requests may be sent to the upstream of a key.
func (g *Gateway) publishes(key string) bool {
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	u, ok := g.upstreams[key]
	return ok && !u.Leaving
}

// Guards against requests to an upstream that left in an outage of the platform, sent when this instance counts as
// connected again: calls made in the outage are never answered, and a peer has kept the copy current.
func TestUpstreamThatLeftInAnOutageIsRemovedWhenThePlatformIsBack(t *testing.T) {
	const (
		reconnectBound = 3 * time.Second // after this time an instance counts as connected
		outage         = 8 * time.Second
		phaseStep      = 50 * time.Millisecond // of the calls in the outage
		phases         = 50
	)
	late := map[string]int{}
	for phase := range phases {
		for _, compacts := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				store := newOutageStore("stays", "leaves")
				g := newWatchingGateway(t, store, keyDecoder{})
				g.watch(t)
				time.Sleep(time.Second)
				store.setSilent(true)
				time.Sleep(4 * time.Second)
				store.delete("leaves")
				if compacts {
					store.compact()
				} else {
					g.platformWatcher.mergePeerSnapshot(store.snapshot(), "front-2")
				}
				time.Sleep(outage - 4*time.Second + time.Duration(phase)*phaseStep)
				store.setSilent(false)
				time.Sleep(reconnectBound)
				if g.publishes("leaves") {
					late[map[bool]string{false: "the copy is current", true: "the history is lost"}[compacts]]++
				}
				if !g.publishes("stays") {
					t.Error("an upstream that did not leave is gone")
				}
			})
		}
	}
	for name, count := range late {
		t.Errorf("%s: in %d of %d phases the upstream is still used %v after the outage", name, count, phases, reconnectBound)
	}
}

// Guards against an instance that stops following the platform after an outage because the changes since then, a large
// configuration for one, take longer over its link than a call may that only shows whether the platform is back.
func TestLargeChangesArriveAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newOutageStore("stays", "leaves")
		store.transfer = 1200 * time.Millisecond
		g := newWatchingGateway(t, store, keyDecoder{})
		g.watch(t)
		time.Sleep(time.Second)
		store.setSilent(true)
		time.Sleep(5 * time.Second)
		store.put("configuration", "large")
		store.put("leaves", "leaving")
		store.setSilent(false)
		time.Sleep(4 * time.Second)
		if g.publishes("leaves") {
			t.Error("the change has not arrived 4 s after the outage")
		}
	})
}

// blockingDecoder blocks while it decodes a configuration.
type blockingDecoder struct {
	keyDecoder
	entered, release chan struct{}
}

func (d blockingDecoder) Configuration(item replica.Item) (*Configuration, error) {
	d.entered <- struct{}{}
	<-d.release
	return d.keyDecoder.Configuration(item)
}

// Guards against an upstream that is used for good after it has left: an older copy of its entry was decided on
// before the entry changed, and carried out after it.
func TestOlderCopyOfAnEntryIsNotCarriedOutAfterANewerOne(t *testing.T) {
	for name, newer := range map[string]replica.Change{
		"leaving": {Item: replica.Item{Key: "leaves", Value: []byte("leaving"), Revision: 11}},
		"removed": {Item: replica.Item{Key: "leaves", Revision: 11}, Deleted: true},
	} {
		decoder := blockingDecoder{entered: make(chan struct{}), release: make(chan struct{})}
		g := newWatchingGateway(t, newOutageStore(), decoder)
		w := g.platformWatcher
		var work sync.WaitGroup
		work.Go(func() {
			w.mergePeerSnapshot(replica.Snapshot{Revision: 9, Items: []replica.Item{
				{Key: "configuration", Revision: 4}, {Key: "leaves", Value: []byte("ready"), Revision: 5}}}, "front-2")
		})
		<-decoder.entered
		work.Go(func() { w.applyChanges([]replica.Change{newer}, replica.Position{Revision: 11}, "platform") })
		time.Sleep(50 * time.Millisecond) // the change is carried out, or waits for the copy
		close(decoder.release)
		work.Wait()
		if g.publishes("leaves") {
			t.Errorf("%s: the upstream is still used", name)
		}
	}
}
