package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	// versionedPrefix is the path prefix of streams whose events name the version of their upstream.
	versionedPrefix = "/versioned/"
	// oncePrefix is that of those which instances do not resume, so that their callers must.
	oncePrefix               = versionedPrefix + "once/"
	eventsPerVersionedStream = 30
	// versionCount is the number of versions that each place of an upstream goes through, in a circle.
	versionCount = 3
	// versionedCallers send such streams, versionedPause is their mean pause.
	versionedCallers = 6
	versionedPause   = 40 * time.Millisecond
	// maxTakes is how often a caller goes on with a stream.
	maxTakes = 3
	// failureDomains is the number of failure domains of the instances.
	failureDomains = 3
	// minTakesCounted is the number of takes from which the share that goes on is checked, and
	// serversCounted the number of upstreams of the version that must serve.
	minTakesCounted = 12
	serversCounted  = 2
)

func versionName(generation int) string { return fmt.Sprintf("v%d", generation+1) }

// upstreamCount is the number of upstreams, including those that take the places of others.
func (o Options) upstreamCount() int {
	if o.Faults == ReleaseFaults {
		return versionCount * o.Upstreams
	}
	return o.Upstreams
}

// failureDomain returns the failure domain of an instance.
func (o Options) failureDomain(instance int) string {
	if o.Faults == ReleaseFaults || o.Faults == PartitionFaults || o.Faults == RemovalFaults {
		return fmt.Sprintf("zone-%d", instance%failureDomains)
	}
	return o.upstreamDomain(instance)
}

// release puts the upstream with the next version into a place. The one before says that it leaves, and
// then loses its entry.
func (tb *testbed) release(place int, waitForEnd func()) {
	tb.mu.Lock()
	before := tb.active[place]
	i := slices.Index(tb.upstreams, before)
	next := tb.upstreams[(i+tb.options.Upstreams)%len(tb.upstreams)]
	tb.active[place] = next
	tb.mu.Unlock()
	next.register(tb.store, serving)
	before.register(tb.store, leaving)
	waitForEnd()
	tb.mu.Lock()
	again := slices.Contains(tb.active, before) // it has taken its place again
	tb.mu.Unlock()
	if !again {
		before.register(tb.store, removed)
	}
}

// serving returns the number of upstreams of a version that take requests.
func (tb *testbed) serving(version string) int {
	n := 0
	for _, u := range tb.upstreams {
		if u.version != version {
			continue
		}
		u.registrationMu.Lock()
		published := u.state == serving
		u.registrationMu.Unlock()
		u.mu.Lock()
		if published && !u.down {
			n++
		}
		u.mu.Unlock()
	}
	return n
}

// versionedStream is a stream as its caller has seen it over its tries.
type versionedStream struct {
	prefix   string
	tries    []versionedTry
	events   int // received, with the IDs from 0
	versions []string
	complete bool
	disorder string // an event that is not the next one
}

// versionedTry is one request of the caller of such a stream.
type versionedTry struct {
	id      string
	status  int
	events  int
	counted bool // the instance is in order, and two upstreams of the version serve
}

// runVersionedCaller sends streams to any instance, and goes on with those that break off, until ctx is done.
func (tb *testbed) runVersionedCaller(ctx context.Context, seed uint64, number int) {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+number)))
	for n := 0; ctx.Err() == nil; n++ {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(2*versionedPause))))
		s := versionedStream{prefix: []string{versionedPrefix, oncePrefix}[rng.IntN(2)]}
		first := fmt.Sprintf("versioned-%d-%d", number, n)
		for try := 0; try <= maxTakes && !s.complete && ctx.Err() == nil; try++ {
			if try > 0 && s.events == 0 {
				break // nothing to go on with
			}
			tb.tryVersioned(&s, rng.IntN(len(tb.instances)), first, fmt.Sprintf("%s-%d", first, try))
		}
		if len(s.tries) == 0 {
			return
		}
		tb.mu.Lock()
		tb.versionedStreams = append(tb.versionedStreams, s)
		tb.mu.Unlock()
	}
}

// tryVersioned sends one request of a stream and records the events that it brings.
func (tb *testbed) tryVersioned(s *versionedStream, i int, first, id string) {
	try := versionedTry{id: id, counted: tb.instances[i].processFaults.inactiveBefore(time.Now(), stabilityPeriod)}
	r := standin.Request{Address: tb.instances[i].callers, Host: hostName, Method: http.MethodPost, Path: s.prefix + first, ID: id, APIKey: permanentKey,
		Timeout: requestTimeout, Body: first}
	if s.events > 0 {
		last := s.events - 1
		r.LastEventID, r.Resumes = &last, s.tries[0].id
		try.counted = try.counted && tb.serving(s.versions[0]) >= serversCounted
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	defer func() { s.tries = append(s.tries, try) }()
	request, err := r.Build(ctx)
	if err != nil {
		s.disorder = err.Error()
		return
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	try.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if try.status != http.StatusOK {
		return
	}
	try.events = s.record(string(body))
	s.complete = err == nil
}

// record records the whole events of a body and returns their number.
func (s *versionedStream) record(body string) int {
	events := strings.SplitAfter(body, "\n\n")
	recorded := 0
	for _, event := range events[:len(events)-1] {
		id, version, ok := parseVersionedEvent(event)
		if !ok || id != s.events {
			s.disorder = event
			return recorded
		}
		s.events++
		recorded++
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
	return recorded
}

func parseVersionedEvent(event string) (id int, version string, ok bool) {
	idText, data, ok := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
	id, err := strconv.Atoi(idText)
	_, version, found := strings.Cut(strings.TrimSpace(data), " of ")
	return id, version, ok && err == nil && found
}

// checkStreamVersions checks the streams whose events name versions: each holds events of one version only,
// in order and without gaps, one that ends as complete is whole, and those that callers go on with go on
// nearly as often as new ones begin.
func (tb *testbed) checkStreamVersions() {
	tb.takenUp = map[string]int{}
	var newStreams, begun, takes, goneOn int
	executed := map[string]bool{}
	for _, u := range tb.upstreams {
		for _, e := range u.Executions() {
			executed[e.ID] = true
		}
	}
	for _, s := range tb.versionedStreams {
		first := s.tries[0].id
		switch {
		case s.disorder != "":
			tb.addViolation("stream %s: after %d events: %q", first, s.events, s.disorder)
		case len(s.versions) > 1:
			tb.addViolation("stream %s holds events of versions %v", first, s.versions)
		case s.complete && s.events != eventsPerVersionedStream:
			tb.addViolation("stream %s looks complete after %d events", first, s.events)
		}
		for i, try := range s.tries {
			if reportsNotRun(try.status) && executed[try.id] {
				tb.addViolation("said not to have run, but ran: %s", try.id)
			}
			if i > 0 {
				tb.takenUp[fmt.Sprintf("status %d", try.status)]++
			}
			if !try.counted {
				continue
			}
			if i == 0 {
				newStreams++
				begun += min(try.events, 1)
				continue
			}
			takes++
			goneOn += min(try.events, 1)
		}
	}
	tb.takenUp["counted"], tb.takenUp["counted and gone on"] = takes, goneOn
	if takes >= minTakesCounted && float64(goneOn)/float64(takes) < 0.5*float64(begun)/float64(newStreams) {
		tb.addViolation("of %d streams taken up %d went on, of %d new ones %d began", takes, goneOn, newStreams, begun)
	}
}
