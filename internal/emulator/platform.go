package emulator

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

const (
	// defaultCallsPerSecond is the platform's documented limit across all readers.
	defaultCallsPerSecond = 2000
	// maxRevisions limits the revisions kept for StaleRevisions.
	maxRevisions = 64
	// maxInstanceLists limits the past instance lists kept for ListLag.
	maxInstanceLists = 1024
)

// PlatformOptions configure a platform stand-in.
type PlatformOptions struct {
	// CallsPerSecond is the call limit. A waiting watch counts as one call per second.
	// Zero: 2,000.
	CallsPerSecond int
	// Now is the clock of the call limit and of the list lag. Nil: time.Now.
	Now func() time.Time
}

// PlatformFaults are the fault settings of a platform. They stay in effect until they are
// changed.
type PlatformFaults struct {
	// Down makes every call fail with status 503 and ends the waiting watches.
	Down bool `json:"down"`
	// StaleRevisions is the number of revisions by which the served configuration is
	// behind the newest one. Zero: off.
	StaleRevisions int `json:"stale_revisions"`
	// ListLag is the delay after which a new list of instances is served.
	ListLag Duration `json:"list_lag"`
}

// PlatformCounters are totals since the creation of the platform, except Waiting.
type PlatformCounters struct {
	Reads       uint64 `json:"reads"`
	Watches     uint64 `json:"watches"`
	NotModified uint64 `json:"not_modified"`
	Lists       uint64 `json:"lists"`
	Limited     uint64 `json:"limited"`
	Refused     uint64 `json:"refused"` // calls while Down was set
	Waiting     int    `json:"waiting"` // watches waiting now
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	now    func() time.Time
	server server

	mu        sync.Mutex
	revisions []platformapi.Deployment // oldest first
	lists     []instanceList           // oldest first
	changed   chan struct{}            // closed and replaced when waiting watches must check again
	faults    PlatformFaults
	counters  PlatformCounters
	callLimit callLimit
}

type instanceList struct {
	at        time.Time
	instances []platformapi.Instance
}

// NewPlatform returns a platform that does not listen yet and has no configuration.
func NewPlatform(o PlatformOptions) *Platform {
	setDefault(&o.CallsPerSecond, defaultCallsPerSecond)
	if o.Now == nil {
		o.Now = time.Now
	}
	p := &Platform{now: o.Now, changed: make(chan struct{}), callLimit: callLimit{perSecond: o.CallsPerSecond}}
	p.server.handler = p.handle
	return p
}

// Start listens on addr, such as 127.0.0.1:0, and serves requests.
func (p *Platform) Start(addr string) error { return p.server.start(addr) }

// Addr returns the address that the platform listens on. It stays the same after a crash.
func (p *Platform) Addr() string { return p.server.addr() }

// Stop stops the platform for good and ends the waiting watches.
func (p *Platform) Stop() {
	p.server.stop()
	p.SetFaults(PlatformFaults{Down: true})
}

// Crash resets all connections and refuses new ones until Restart.
func (p *Platform) Crash() { p.server.crash() }

// Restart listens on the same address again.
func (p *Platform) Restart() error { return p.server.start(p.server.addr()) }

// CrashFor crashes the platform and restarts it after d.
func (p *Platform) CrashFor(d time.Duration) {
	p.Crash()
	p.server.afterFunc(d, func() { _ = p.Restart() })
}

// Freeze stops all responses while connections stay open. Freeze(false) ends it.
func (p *Platform) Freeze(on bool) { p.server.frozen.set(on) }

// Silence permanently stops all traffic on the open connections without closing them,
// and returns their number.
func (p *Platform) Silence() int { return p.server.silenceConnections() }

// Publish makes text the newest configuration and returns its revision. It does not
// validate the text, so that tests can publish invalid configurations to readers.
func (p *Platform) Publish(text []byte) (platformapi.Revision, error) {
	if len(text) > config.MaxBytes {
		return 0, errors.Errorf("configuration has %d bytes, the limit is %d", len(text), config.MaxBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := platformapi.Revision(1)
	if n := len(p.revisions); n > 0 {
		revision = p.revisions[n-1].Revision + 1
	}
	p.revisions = append(p.revisions, platformapi.Deployment{Revision: revision, Text: append([]byte(nil), text...)})
	if len(p.revisions) > maxRevisions {
		p.revisions = p.revisions[1:]
	}
	p.wakeWatches()
	return revision, nil
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(list []platformapi.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, instanceList{at: p.now(), instances: append([]platformapi.Instance{}, list...)})
	if len(p.lists) > maxInstanceLists {
		p.lists = p.lists[1:]
	}
}

// Faults returns the fault settings.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the fault settings.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.wakeWatches()
}

// Counters returns a copy of the counters.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.Waiting = p.callLimit.waiting
	return c
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentDeployment returns the configuration to serve; false if there is none.
func (p *Platform) currentDeployment() (platformapi.Deployment, bool) {
	i := len(p.revisions) - 1
	if i < 0 {
		return platformapi.Deployment{}, false
	}
	return p.revisions[max(0, i-max(0, p.faults.StaleRevisions))], true
}

// visibleInstances returns the newest list that is at least ListLag old, or an empty list
// if there is none.
func (p *Platform) visibleInstances() []platformapi.Instance {
	cutoff := p.now().Add(-p.faults.ListLag.Std())
	for i := len(p.lists) - 1; i >= 0; i-- {
		if !p.lists[i].at.After(cutoff) {
			return p.lists[i].instances
		}
	}
	return []platformapi.Instance{}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == PathControl {
		p.server.serveControl(ctx, p)
		return
	}
	if !ctx.IsGet() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "read_only", "the platform can only be read")
		return
	}
	if status := p.admitCall(); status != fasthttp.StatusOK {
		writeError(ctx, status, "refused", fasthttp.StatusMessage(status))
		return
	}
	switch path {
	case platformapi.PathDeployment:
		p.serveDeployment(ctx)
	case platformapi.PathInstances:
		p.mu.Lock()
		p.counters.Lists++
		list := p.visibleInstances()
		p.mu.Unlock()
		writeJSON(ctx, fasthttp.StatusOK, list)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found", path)
	}
}

// admitCall counts a call against the limit and returns status 200 if it may be served.
func (p *Platform) admitCall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.Down:
		p.counters.Refused++
		return fasthttp.StatusServiceUnavailable
	case !p.callLimit.allow(p.now()):
		p.counters.Limited++
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusOK
}

func (p *Platform) serveDeployment(ctx *fasthttp.RequestCtx) {
	watch, err := platformapi.ParseWatch(string(ctx.URI().QueryString()))
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed_query", err.Error())
		return
	}
	d, status := p.awaitDeployment(ctx, watch)
	p.server.frozen.waitCleared() // holds the response of a watch that was waiting when the freeze began
	if status != fasthttp.StatusOK {
		ctx.SetStatusCode(status)
		return
	}
	ctx.Response.Header.Set(platformapi.HeaderRevision, d.Revision.String())
	ctx.SetContentType("application/yaml")
	ctx.SetBody(d.Text)
}

// awaitDeployment returns the response to a read at once. For a watch it waits for a
// revision newer than that of the watch.
func (p *Platform) awaitDeployment(ctx *fasthttp.RequestCtx, watch platformapi.Watch) (platformapi.Deployment, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.currentDeployment()
	if watch.IsRead() {
		p.counters.Reads++
		if !ok {
			return d, fasthttp.StatusNotFound
		}
		return d, fasthttp.StatusOK
	}
	p.counters.Watches++
	if d.Revision <= watch.After && watch.Wait > 0 {
		p.callLimit.beginWatch(p.now())
		d = p.waitForRevision(ctx, watch)
		p.callLimit.endWatch(p.now())
	}
	switch {
	case p.faults.Down:
		return d, fasthttp.StatusServiceUnavailable
	case d.Revision > watch.After:
		return d, fasthttp.StatusOK
	}
	p.counters.NotModified++
	return d, fasthttp.StatusNotModified
}

// waitForRevision releases the mutex and waits until the watch can be answered: there is
// a newer revision, its wait has passed, its connection is closed or the platform is down.
func (p *Platform) waitForRevision(ctx *fasthttp.RequestCtx, watch platformapi.Watch) platformapi.Deployment {
	closed := make(chan struct{})
	stopCloseWatch := ctx.Conn().(*conn).watchClose(func() { close(closed) })
	timer := time.NewTimer(watch.Wait)
	defer timer.Stop()
	for ended := false; ; {
		d, _ := p.currentDeployment()
		if ended || p.faults.Down || d.Revision > watch.After {
			// The close watch only reads from the connection, so stopping it with the
			// mutex held cannot deadlock.
			stopCloseWatch()
			return d
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-closed:
			ended = true
		}
		p.mu.Lock()
	}
}
