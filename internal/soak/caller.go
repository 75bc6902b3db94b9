package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	// callersPerInstance is the number of concurrent callers of an instance. Each keeps one
	// connection alive.
	callersPerInstance = 4
	// requestTimeout is the deadline that callers send with a request.
	requestTimeout = 2500 * time.Millisecond
	// latenessTolerance is the delay beyond the route timeout that a response may have on a
	// busy machine.
	latenessTolerance = time.Second
	// callTimeout ends a call that gets no response.
	callTimeout = 6 * time.Second
	// faultMargin is the time after a process fault during which callers may still be affected.
	faultMargin = time.Second
)

// observation is the result of one request as seen by its caller.
type observation struct {
	id, path, key string
	instance      int
	sent          time.Time
	duration      time.Duration
	status        int
	signed        bool
	malformedHead bool // a name of a field is invalid
	framed        bool // with a length or chunks
	body          string
	err           error // from the connection or from reading the body
	connected     bool  // a connection to the instance was obtained
	connReused    bool  // the connection had served a request before
}

func (o observation) String() string {
	return fmt.Sprintf("request %s %s at instance %d: status %d after %v, %v", o.id, o.path, o.instance, o.status, o.duration.Round(time.Millisecond), o.err)
}

// caller sends requests sequentially over a persistent connection.
type caller struct {
	testbed   *testbed
	instance  int
	number    int
	sequence  int
	pause     time.Duration // mean pause between two requests
	transport *http.Transport
	rng       *rand.Rand
}

func newCaller(tb *testbed, instance, number int, seed uint64) *caller {
	return &caller{testbed: tb, instance: instance, number: number, rng: rand.New(rand.NewPCG(seed, uint64(instance*callersPerInstance+number+2))),
		pause:     tb.options.callerPause(),
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
}

func (c *caller) run(ctx context.Context, out chan<- observation) {
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		path, key := c.chooseRequest()
		out <- c.send(path, key)
		sleepContext(ctx, time.Duration(c.rng.Int64N(int64(2*c.pause))))
	}
}

// chooseRequest selects a random path and API key. About one request in ten goes to a route
// that the run has added, and one in ten uses a key that it has published; either may have been
// removed since.
func (c *caller) chooseRequest() (path, key string) {
	path = []string{lookupPrefix, orderPrefix, streamPrefix}[c.rng.IntN(3)]
	key = permanentKey
	c.testbed.mu.Lock()
	defer c.testbed.mu.Unlock()
	switch draw := c.rng.Float64(); {
	case draw < 0.1 && len(c.testbed.routes) > 0:
		path = "/" + c.testbed.routes[c.rng.IntN(len(c.testbed.routes))].name + "/"
	case draw < 0.2 && len(c.testbed.keys) > 0:
		path, key = lookupPrefix, c.testbed.keys[c.rng.IntN(len(c.testbed.keys))].name
	}
	return path, key
}

// send sends a request to a path of its own below the prefix.
func (c *caller) send(prefix, key string) observation {
	id := c.nextID()
	return c.sendAs(id, prefix, key, prefix+id, "body of "+id)
}

// sendUnchanged sends a request that differs from other requests to the path only by its ID.
func (c *caller) sendUnchanged(path, key string) observation {
	return c.sendAs(c.nextID(), path, key, path, path)
}

func (c *caller) nextID() string {
	c.sequence++
	return fmt.Sprintf("%d-%d-%d", c.instance, c.number, c.sequence)
}

func (c *caller) sendAs(id, prefix, key, path, body string) observation {
	return c.sendPrompt(context.Background(), id, prefix, key, path, body, "")
}

// sendPrompt sends a request whose prompt has the parts; "" if it has no prompt. The caller leaves when
// ctx ends.
func (c *caller) sendPrompt(ctx context.Context, id, prefix, key, path, body, parts string) observation {
	in := c.testbed.instances[c.instance]
	o := observation{id: id, path: prefix, key: key, instance: c.instance, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.connected, o.connReused = true, i.Reused }})
	r, err := standin.Request{Address: in.callers, Host: hostName, Method: http.MethodPost, Path: path, ID: o.id, APIKey: key,
		Timeout: requestTimeout, Body: body, PromptPrefix: parts}.Build(ctx)
	if err != nil {
		o.err = err
		return o
	}
	res, err := c.transport.RoundTrip(r)
	if err != nil {
		o.err, o.duration = err, time.Since(o.sent)
		return o
	}
	defer res.Body.Close()
	o.status, o.duration = res.StatusCode, time.Since(o.sent)
	o.signed = standin.HasSignature(res.Header)
	for name := range res.Header { // the HTTP client accepts blanks in names
		o.malformedHead = o.malformedHead || !httpguts.ValidHeaderFieldName(name)
	}
	o.framed = res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	received, err := io.ReadAll(res.Body)
	o.body, o.err = string(received), err
	return o
}

// startLoad starts callers at every instance. They send requests until ctx is cancelled; then
// the returned channel is closed. Callers whose requests are faults end with faultCtx.
func (tb *testbed) startLoad(ctx, faultCtx context.Context, seed uint64) <-chan observation {
	out := make(chan observation, 1024)
	var callers sync.WaitGroup
	for i := range tb.instances {
		for n := range tb.options.callers() {
			c := newCaller(tb, i, n, seed)
			callers.Go(func() { c.run(ctx, out) })
		}
	}
	if tb.options.Faults == RetryFaults {
		callers.Go(func() { tb.runCrashingCaller(ctx, seed, out) })
	}
	if tb.options.Faults == ReleaseFaults {
		for n := range versionedCallers {
			callers.Go(func() { tb.runVersionedCaller(faultCtx, seed, n) })
		}
	}
	if tb.options.Faults == StopFaults {
		for n := range stopCallers {
			callers.Go(func() { tb.runStopCaller(faultCtx, seed, n) })
		}
		for n := range reuseCallers {
			callers.Go(func() { tb.runReuseCaller(faultCtx, seed, n) })
		}
	}
	if tb.options.Faults == DrillFaults {
		callers.Go(func() { tb.runDeadlyPartCaller(faultCtx, seed, out) })
		callers.Go(func() { tb.runLeavingCaller(faultCtx, seed) })
	}
	go func() {
		callers.Wait()
		close(out)
	}()
	return out
}

// completeStream returns the body of a complete stream.
func completeStream() string {
	var b strings.Builder
	for i := range eventsPerStream {
		b.WriteString(standin.EventText(i))
	}
	return b.String()
}

// state contains the checked fields of an instance's /state document.
type state struct {
	Ready   bool `json:"ready"`
	Version int  `json:"configuration_version"`
}

// state queries /state at the instance's operations address.
func (in *instance) state() (state, error) {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + in.operations + "/state")
	if err != nil {
		return state{}, errors.Wrap(err, "query state")
	}
	defer res.Body.Close()
	defer client.CloseIdleConnections()
	var s state
	return s, errors.Wrap(json.NewDecoder(res.Body).Decode(&s), "decode state")
}

// awaitReady waits until the instance reports that it is ready. It returns false after the
// timeout.
func (in *instance) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s, err := in.state(); err == nil && s.Ready {
			return true
		}
	}
	return false
}
