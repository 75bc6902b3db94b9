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

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	// workers is the number of callers of an instance; each keeps one connection.
	workers = 4
	// callerPatience is what callers say that they wait.
	callerPatience = 2500 * time.Millisecond
	// lateness is how long after its time limit an answer may come on a busy machine.
	lateness = time.Second
	// callerLimit ends a call that gets no answer at all.
	callerLimit = 6 * time.Second
	// margin is the time after a fault of a process in which callers may still see it.
	margin = time.Second
)

// observation is what a caller saw of one request.
type observation struct {
	id, path, key string
	instance      int
	sent          time.Time
	took          time.Duration
	status        int
	signed        bool
	body          string
	err           error // of the connection or the body
	reused        bool  // the connection had served a request before
}

func (o observation) String() string {
	return fmt.Sprintf("request %s %s at instance %d: status %d after %v, %v", o.id, o.path, o.instance, o.status, o.took.Round(time.Millisecond), o.err)
}

// caller sends one request after the other over a kept connection.
type caller struct {
	w         *world
	instance  int
	number    int
	sequence  int
	transport *http.Transport
	rng       *rand.Rand
}

func newCaller(w *world, instance, number int, seed uint64) *caller {
	return &caller{w: w, instance: instance, number: number, rng: rand.New(rand.NewPCG(seed, uint64(instance*workers+number+2))),
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
}

func (c *caller) run(ctx context.Context, out chan<- observation) {
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		path, key := c.choose()
		out <- c.send(path, key)
		time.Sleep(time.Duration(c.rng.Int64N(int64(20 * time.Millisecond))))
	}
}

// choose draws a route and a key, now and then ones that were changed lately.
func (c *caller) choose() (path, key string) {
	path = []string{lookupPrefix, orderPrefix, streamPrefix}[c.rng.IntN(3)]
	key = standingKey
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	switch x := c.rng.Float64(); {
	case x < 0.1 && len(c.w.routes) > 0:
		path = "/" + c.w.routes[c.rng.IntN(len(c.w.routes))].name + "/"
	case x < 0.2 && len(c.w.keys) > 0:
		path, key = lookupPrefix, c.w.keys[c.rng.IntN(len(c.w.keys))].name
	}
	return path, key
}

func (c *caller) send(path, key string) observation {
	c.sequence++
	in := c.w.instances[c.instance]
	o := observation{id: fmt.Sprintf("%d-%d-%d", c.instance, c.number, c.sequence), path: path, key: key, instance: c.instance, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.reused = i.Reused }})
	r, err := standin.Request{Address: in.callers, Host: hostName, Method: http.MethodPost, Path: path + o.id, ID: o.id, APIKey: key,
		Timeout: callerPatience, Body: "body of " + o.id}.Build(ctx)
	if err != nil {
		o.err = err
		return o
	}
	res, err := c.transport.RoundTrip(r)
	if err != nil {
		o.err, o.took = err, time.Since(o.sent)
		return o
	}
	defer res.Body.Close()
	o.status, o.took = res.StatusCode, time.Since(o.sent)
	o.signed = standin.HasSignature(res.Header)
	text, err := io.ReadAll(res.Body)
	o.body, o.err = string(text), err
	return o
}

// load runs callers at every instance until ctx ends.
func (w *world) load(ctx context.Context, seed uint64) <-chan observation {
	out := make(chan observation, 1024)
	var all sync.WaitGroup
	for i := range w.instances {
		for n := range workers {
			c := newCaller(w, i, n, seed)
			all.Go(func() { c.run(ctx, out) })
		}
	}
	go func() {
		all.Wait()
		close(out)
	}()
	return out
}

// wholeStream is the body of a complete stream.
func wholeStream() string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(standin.EventText(i))
	}
	return b.String()
}

// state is the part of an instance's state dump that is checked.
type state struct {
	Ready   bool `json:"ready"`
	Version int  `json:"configuration_version"`
}

// state asks the instance's operators' address.
func (in *instance) state() (state, error) {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + in.operations + "/state")
	if err != nil {
		return state{}, errors.Wrap(err, "state")
	}
	defer res.Body.Close()
	defer client.CloseIdleConnections()
	var s state
	return s, errors.Wrap(json.NewDecoder(res.Body).Decode(&s), "state")
}

// readyWithin waits until the instance says that it is ready.
func (in *instance) readyWithin(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s, err := in.state(); err == nil && s.Ready {
			return true
		}
	}
	return false
}
