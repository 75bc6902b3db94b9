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
	// defaultCallLimit is the platform's documented limit across all readers.
	defaultCallLimit = 2000
	// maxRevisions bounds the revisions that a stale platform can go back to.
	maxRevisions = 64
	// maxInstanceLists bounds the past instance lists that a lag can show.
	maxInstanceLists = 1024
)

// PlatformOptions configure a platform stand-in.
type PlatformOptions struct {
	// CallLimit bounds calls per second; a waiting watch counts as one. Zero: 2,000.
	CallLimit int
	// Now is the clock of the call limit and of the list lag. Nil: time.Now.
	Now func() time.Time
}

// PlatformSwitches are the lasting faults of a platform.
type PlatformSwitches struct {
	// Down answers 503 to every call and ends the waiting watches.
	Down bool `json:"down"`
	// StaleRevisions makes the platform serve a configuration that many revisions
	// behind the newest one. Zero: off.
	StaleRevisions int `json:"stale_revisions"`
	// ListLag delays the list of instances.
	ListLag Duration `json:"list_lag"`
}

// PlatformCounters count calls since the platform's creation.
type PlatformCounters struct {
	Reads       uint64 `json:"reads"`
	Watches     uint64 `json:"watches"`
	NotModified uint64 `json:"not_modified"`
	Lists       uint64 `json:"lists"`
	Limited     uint64 `json:"limited"`
	Refused     uint64 `json:"refused"` // while down
	Waiting     int    `json:"waiting"` // watches that wait now
}

// Platform is a stand-in for the platform's services. It is safe for concurrent use.
type Platform struct {
	now    func() time.Time
	server server

	mu        sync.Mutex
	revisions []platformapi.Deployment // oldest first
	lists     []instanceList           // oldest first
	changed   chan struct{}            // closed and replaced when a watch may end
	switches  PlatformSwitches
	counters  PlatformCounters
	limit     callLimit
}

type instanceList struct {
	at        time.Time
	instances []platformapi.Instance
}

// NewPlatform returns a platform that is not yet listening and has no configuration.
func NewPlatform(o PlatformOptions) *Platform {
	setDefault(&o.CallLimit, defaultCallLimit)
	if o.Now == nil {
		o.Now = time.Now
	}
	p := &Platform{now: o.Now, changed: make(chan struct{}), limit: callLimit{limit: o.CallLimit}}
	p.server.handler = p.handle
	return p
}

// Start listens on addr, such as 127.0.0.1:0, and begins to serve.
func (p *Platform) Start(addr string) error { return p.server.start(addr) }

// Addr returns the address that the platform listens on, also after a crash.
func (p *Platform) Addr() string { return p.server.addr() }

// Stop ends the platform.
func (p *Platform) Stop() {
	p.server.stop()
	p.SetSwitches(PlatformSwitches{Down: true}) // ends the waiting watches
}

// Crash resets all connections and refuses new ones until Restart.
func (p *Platform) Crash() { p.server.crash() }

// Restart listens on the former address.
func (p *Platform) Restart() error { return p.server.start(p.server.addr()) }

// CrashFor crashes the platform and restarts it after d.
func (p *Platform) CrashFor(d time.Duration) {
	p.Crash()
	p.server.after(d, func() { _ = p.Restart() })
}

// Freeze stops all answers while connections stay open; false resumes.
func (p *Platform) Freeze(on bool) { p.server.frozen.set(on) }

// Silence makes the open connections silent for good and returns their number.
func (p *Platform) Silence() int { return p.server.silence() }

// Publish makes text the newest configuration and returns its revision. The text is
// not checked: publishing an invalid one is a test of its readers.
func (p *Platform) Publish(text []byte) (platformapi.Revision, error) {
	if len(text) > config.MaxBytes {
		return 0, errors.Errorf("value has %d bytes, the limit is %d", len(text), config.MaxBytes)
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

// Switches returns the lasting faults.
func (p *Platform) Switches() PlatformSwitches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switches
}

// SetSwitches replaces the lasting faults.
func (p *Platform) SetSwitches(s PlatformSwitches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches = s
	p.wakeWatches()
}

// Counters returns the counters.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.Waiting = p.limit.waiting
	return c
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the configuration to serve and whether there is one.
func (p *Platform) current() (platformapi.Deployment, bool) {
	i := len(p.revisions) - 1
	if i < 0 {
		return platformapi.Deployment{}, false
	}
	return p.revisions[max(0, i-max(0, p.switches.StaleRevisions))], true
}

// visible returns the newest list that is at least ListLag old. Before there is
// one, the list is empty.
func (p *Platform) visible() []platformapi.Instance {
	until := p.now().Add(-p.switches.ListLag.Std())
	for i := len(p.lists) - 1; i >= 0; i-- {
		if !p.lists[i].at.After(until) {
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
	if code := p.accept(); code != fasthttp.StatusOK {
		writeError(ctx, code, "refused", fasthttp.StatusMessage(code))
		return
	}
	switch path {
	case platformapi.PathDeployment:
		p.deployment(ctx)
	case platformapi.PathInstances:
		p.mu.Lock()
		p.counters.Lists++
		list := p.visible()
		p.mu.Unlock()
		writeJSON(ctx, fasthttp.StatusOK, list)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found", path)
	}
}

// accept counts the call against the limit.
func (p *Platform) accept() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.switches.Down:
		p.counters.Refused++
		return fasthttp.StatusServiceUnavailable
	case !p.limit.call(p.now()):
		p.counters.Limited++
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusOK
}

func (p *Platform) deployment(ctx *fasthttp.RequestCtx) {
	w, err := platformapi.ParseWatch(string(ctx.URI().QueryString()))
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed_query", err.Error())
		return
	}
	d, code := p.await(ctx, w)
	p.server.frozen.wait() // a freeze holds watches that were waiting before it
	if code != fasthttp.StatusOK {
		ctx.SetStatusCode(code)
		return
	}
	ctx.Response.Header.Set(platformapi.HeaderRevision, d.Revision.String())
	ctx.SetContentType("application/yaml")
	ctx.SetBody(d.Text)
}

// await answers a read at once and a watch when there is a newer revision.
func (p *Platform) await(ctx *fasthttp.RequestCtx, w platformapi.Watch) (platformapi.Deployment, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.current()
	if w.IsRead() {
		p.counters.Reads++
		if !ok {
			return d, fasthttp.StatusNotFound
		}
		return d, fasthttp.StatusOK
	}
	p.counters.Watches++
	if d.Revision <= w.After && w.Wait > 0 {
		p.limit.park(p.now())
		d = p.park(ctx, w)
		p.limit.unpark(p.now())
	}
	switch {
	case p.switches.Down:
		return d, fasthttp.StatusServiceUnavailable
	case d.Revision > w.After:
		return d, fasthttp.StatusOK
	}
	p.counters.NotModified++
	return d, fasthttp.StatusNotModified
}

// park waits with the mutex released until the watch can be answered.
func (p *Platform) park(ctx *fasthttp.RequestCtx, w platformapi.Watch) platformapi.Deployment {
	gone := make(chan struct{})
	stopWatch := ctx.Conn().(*conn).watch(func() { close(gone) })
	timer := time.NewTimer(w.Wait)
	defer timer.Stop()
	for over := false; ; {
		d, _ := p.current()
		if over || p.switches.Down || d.Revision > w.After {
			// The watch reads from the connection only, so it needs no lock to end.
			stopWatch()
			return d
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-gone:
			over = true
		}
		p.mu.Lock()
	}
}
