package emulator

import (
	"sync"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/transport/platform"
)

// manualClock is a clock that the test advances.
type manualClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *manualClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *manualClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func startPlatform(t *testing.T, callsPerSecond int) (*Platform, *platform.Client, *manualClock) {
	t.Helper()
	clock := &manualClock{t: time.Unix(1000, 0)}
	p := NewPlatform(PlatformOptions{CallsPerSecond: callsPerSecond, Now: clock.now})
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c := platform.New(platform.Options{Address: p.Addr(), Timeout: 30 * time.Second})
	t.Cleanup(func() { c.Close(); p.Stop() })
	return p, c, clock
}

func mustPublish(t *testing.T, p *Platform, text string) platformapi.Revision {
	t.Helper()
	revision, err := p.Publish([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// Readers must get each new revision once and a not-modified response otherwise.
func TestReadAndWatch(t *testing.T) {
	p, c, _ := startPlatform(t, 0)
	if r := c.Read(); r.Outcome != platform.Unavailable {
		t.Errorf("a platform without configuration returned %v", r.Outcome)
	}
	first := mustPublish(t, p, "one")
	if r := c.Read(); r.Outcome != platform.OK || r.Deployment.Revision != first || string(r.Deployment.Text) != "one" {
		t.Errorf("read %+v", r)
	}
	if r := c.Watch(first, time.Millisecond); r.Outcome != platform.NotModified {
		t.Errorf("watch %+v", r)
	}
	result := make(chan platform.ConfigResult, 1)
	go func() { result <- c.Watch(first, time.Minute) }()
	eventually(t, "the watch waits", func() bool { return p.Counters().Waiting == 1 })
	second := mustPublish(t, p, "two")
	if r := <-result; r.Outcome != platform.OK || r.Deployment.Revision != second || string(r.Deployment.Text) != "two" {
		t.Errorf("watch %+v", r)
	}
	if r := c.Watch(first, time.Minute); r.Deployment.Revision != second {
		t.Errorf("a watch for a revision behind the newest one must return at once: %+v", r)
	}
	if counters := p.Counters(); counters.Reads != 2 || counters.Watches != 3 || counters.NotModified != 1 || counters.Waiting != 0 {
		t.Errorf("counters %+v", counters)
	}
}

// Concurrent publishers must never get the same revision.
func TestConcurrentPublishers(t *testing.T) {
	p := NewPlatform(PlatformOptions{})
	seen := make(chan platformapi.Revision, 40)
	var publishers sync.WaitGroup
	for range cap(seen) {
		publishers.Go(func() {
			revision, _ := p.Publish([]byte("x"))
			seen <- revision
		})
	}
	publishers.Wait()
	close(seen)
	distinct := map[platformapi.Revision]bool{}
	for revision := range seen {
		distinct[revision] = true
	}
	if len(distinct) != cap(seen) || distinct[0] {
		t.Errorf("%d distinct revisions of %d", len(distinct), cap(seen))
	}
}

// The call limit must count a waiting watch as one call in each second.
func TestCallLimit(t *testing.T) {
	p, c, clock := startPlatform(t, 3)
	first := mustPublish(t, p, "one")
	result := make(chan platform.ConfigResult, 1)
	go func() { result <- c.Watch(first, time.Minute) }()
	eventually(t, "the watch waits", func() bool { return p.Counters().Waiting == 1 })
	for second := range 2 {
		for i, want := range []platform.Outcome{platform.OK, platform.OK, platform.RateLimited} {
			if r := c.Read(); r.Outcome != want {
				t.Errorf("second %d, read %d: %v, want %v", second, i, r.Outcome, want)
			}
		}
		clock.add(time.Second)
	}
	mustPublish(t, p, "two")
	if r := <-result; r.Outcome != platform.OK {
		t.Errorf("watch %+v", r)
	}
	for i, want := range []platform.Outcome{platform.OK, platform.OK, platform.RateLimited} {
		if r := c.Instances(); r.Outcome != want {
			t.Errorf("list %d after the watch: %v, want %v", i, r.Outcome, want)
		}
	}
	if counters := p.Counters(); counters.Limited != 3 {
		t.Errorf("counters %+v", counters)
	}
}

// A stale platform must serve the older revision. A platform that is down must be reported
// as unavailable and end its waiting watches.
func TestDownAndStale(t *testing.T) {
	p, c, _ := startPlatform(t, 0)
	first := mustPublish(t, p, "one")
	second := mustPublish(t, p, "two")
	p.SetFaults(PlatformFaults{StaleRevisions: 1})
	if r := c.Read(); r.Deployment.Revision != first || string(r.Deployment.Text) != "one" {
		t.Errorf("stale read %+v", r)
	}
	result := make(chan platform.ConfigResult, 1)
	go func() { result <- c.Watch(second, time.Minute) }()
	eventually(t, "the watch waits", func() bool { return p.Counters().Waiting == 1 })
	sendCommand(t, p.Addr(), `{"switches":{"down":true}}`, nil)
	if r := <-result; r.Outcome != platform.Unavailable {
		t.Errorf("watch %+v", r)
	}
	if r := c.Read(); r.Outcome != platform.Unavailable {
		t.Errorf("read %+v", r)
	}
	sendCommand(t, p.Addr(), `{"switches":{"down":false,"stale_revisions":0},"publish":"three"}`, nil)
	if r := c.Read(); r.Deployment.Revision != second+1 || string(r.Deployment.Text) != "three" {
		t.Errorf("read %+v", r)
	}
}

// Closing the client must end a waiting watch, or a shutdown would hang.
func TestCloseEndsWatch(t *testing.T) {
	p, c, _ := startPlatform(t, 0)
	first := mustPublish(t, p, "one")
	result := make(chan platform.ConfigResult, 1)
	go func() { result <- c.Watch(first, time.Minute) }()
	eventually(t, "the watch waits", func() bool { return p.Counters().Waiting == 1 })
	c.Close()
	if r := <-result; r.Outcome != platform.Unavailable {
		t.Errorf("watch %+v", r)
	}
	eventually(t, "the platform has ended the watch", func() bool { return p.Counters().Waiting == 0 })
	if r := c.Read(); r.Outcome != platform.Unavailable {
		t.Errorf("read after close %+v", r)
	}
}

// The list of instances must be delayed by ListLag and carry the states; an entry with an
// unknown state must be reported and must not hide the others.
func TestInstanceListLags(t *testing.T) {
	p, c, clock := startPlatform(t, 0)
	want := platformapi.Instance{Name: "i1", Address: "127.0.0.1:1", State: platformapi.Leaving}
	p.SetInstances([]platformapi.Instance{want})
	p.SetFaults(PlatformFaults{ListLag: Duration(time.Second)})
	if r := c.Instances(); r.Outcome != platform.OK || len(r.Instances) != 0 {
		t.Errorf("early list %+v", r)
	}
	clock.add(time.Second)
	if r := c.Instances(); r.Outcome != platform.OK || len(r.Instances) != 1 || r.Instances[0] != want {
		t.Errorf("late list %+v", r)
	}
	sendCommand(t, p.Addr(), `{"instances":[{"name":"i2","address":"x","state":"odd"},{"name":"i1","address":"127.0.0.1:1","state":"leaving"}]}`, nil)
	clock.add(time.Second)
	if r := c.Instances(); r.Outcome != platform.OK || len(r.Instances) != 1 || r.Instances[0] != want || r.Invalid != 1 || r.InvalidErr == nil {
		t.Errorf("list with an unknown state %+v", r)
	}
}

// Calls to a platform that accepts connections but does not respond must time out, or
// readers would hang.
func TestFrozenPlatformTimesOut(t *testing.T) {
	p, _, _ := startPlatform(t, 0)
	mustPublish(t, p, "one")
	c := platform.New(platform.Options{Address: p.Addr(), Timeout: 20 * time.Millisecond})
	defer c.Close()
	p.Freeze(true)
	if r := c.Read(); r.Outcome != platform.Unavailable {
		t.Errorf("read %+v", r)
	}
	p.Freeze(false)
	p.Crash()
	if r := c.Instances(); r.Outcome != platform.Unavailable {
		t.Errorf("list %+v", r)
	}
}
