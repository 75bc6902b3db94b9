package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	sockets "github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// reuseCallers is the number of callers that use connections again after up to several seconds.
	reuseCallers = 48
	// maxReuses is the largest number of requests on such a connection after its first one.
	maxReuses = 3
	// maxIgnorantHold is the longest time after which a caller uses a connection again that ignores what is announced.
	maxIgnorantHold = 3 * time.Second
	// lastMomentShare is the share of requests that are sent right before the end of the announced time.
	lastMomentShare = 0.4
	// lastMoment is how long before that end they are sent.
	lastMoment = 5 * time.Millisecond
	// reuseTransit is the time that a request and the response before it may take together on their way, beyond which
	// an instance may have closed the connection of a caller that keeps to the announced time by its own clock.
	reuseTransit = 500 * time.Millisecond
	// closingPart is the last part of the grace period, in which an instance closes connections whatever it has announced.
	closingPart = 400 * time.Millisecond
	// arrivalPollInterval is the time between two looks for bytes of a response.
	arrivalPollInterval = 20 * time.Millisecond
)

// reuse is how a caller uses a connection again.
type reuse int

const (
	keepsTime       reuse = iota // within the announced time, up to its end
	keepsTimeStream              // the same, after a stream
	ignoresTime                  // at any time, also after a stream
	reuseCount
)

var reuseNames = [reuseCount]string{"in_time", "in_time_after_stream", "at_any_time"}

// reuseResult is what became of a further request on a connection.
type reuseResult string

const (
	reuseAnswered    reuseResult = "answered"
	reuseCut         reuseResult = "cut"           // no answer to a request that was sent, at least in part
	reuseBrokenOff   reuseResult = "broken_off"    // a stream that has begun and did not end
	reuseClosed      reuseResult = "closed"        // the connection ended before the request was sent
	reuseNotInTime   reuseResult = "not_sent"      // the caller did not run before the end of the announced time
	reuseUnannounced reuseResult = "not_announced" // no time was announced: the caller did not use the connection again
)

// reusedRequest is a further request on a connection, or the end of the wait for it.
type reusedRequest struct {
	id       string
	use      reuse
	instance int
	// The response before it had not wholly arrived at notBefore and was read at receivedAt. A caller that runs late
	// reads it late.
	notBefore, receivedAt time.Time
	announced             time.Duration
	beganAt               time.Time // before it was sent
	sentAt, endedAt       time.Time // sentAt: its first bytes; both: when the connection was seen to end before that
	result                reuseResult
}

// arrivalReader reads from a connection and notes the last time at which nothing more had arrived.
type arrivalReader struct {
	net.Conn
	readBy      time.Time
	lastEmptyAt time.Time
}

func (r *arrivalReader) Read(b []byte) (int, error) {
	for {
		now := time.Now()
		if !sockets.HasUnread(r.Conn) {
			r.lastEmptyAt = now
		}
		deadline := now.Add(arrivalPollInterval)
		if deadline.After(r.readBy) {
			deadline = r.readBy
		}
		if err := r.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := r.Conn.Read(b)
		var timeout net.Error
		if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() || !time.Now().Before(r.readBy) {
			return n, err
		}
	}
}

// reusingConn is a caller's connection that carries several requests.
type reusingConn struct {
	in      *arrivalReader
	reader  *bufio.Reader
	sentAt  time.Time     // when the first part of the last request had been written
	timeout time.Duration // which the last response has announced; 0: none
	last    bool          // it has announced the end of the connection
}

// errBrokenOff is the end of a connection in a response.
var errBrokenOff = errors.New("the response was broken off")

// ask sends a request and reads its response.
func (c *reusingConn) ask(prefix, id string) error {
	_, err := fmt.Fprintf(c.in.Conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}",
		prefix, id, hostName, id, requestTimeout.Milliseconds(), permanentKey)
	c.sentAt = time.Now()
	if err != nil {
		return err
	}
	c.in.readBy = c.sentAt.Add(callTimeout)
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.Wrap(errBrokenOff, err.Error())
	}
	c.last = res.Close
	c.timeout, _ = sockets.ParseKeepAlive(res.Header.Get("Keep-Alive"))
	return nil
}

// awaitEnd waits until a time and returns false if the connection ends, or holds bytes, before.
func (c *reusingConn) awaitEnd(until time.Time) bool {
	c.in.readBy = until
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// runReuseCaller uses connections again, until ctx is done.
func (tb *testbed) runReuseCaller(ctx context.Context, seed uint64, number int) {
	rng := rand.New(rand.NewPCG(seed, uint64(2000+number)))
	for n := 0; ctx.Err() == nil; n++ {
		tb.reuseConnection(ctx, rng, rng.IntN(len(tb.instances)), reuse(rng.IntN(int(reuseCount))), fmt.Sprintf("reuse-%d-%d", number, n))
		sleepContext(ctx, time.Duration(rng.Int64N(int64(20*time.Millisecond))))
	}
}

// reuseConnection sends a request on a new connection, and then further ones.
func (tb *testbed) reuseConnection(ctx context.Context, rng *rand.Rand, instance int, use reuse, id string) {
	conn, err := net.DialTimeout("tcp", tb.instances[instance].callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	in := &arrivalReader{Conn: conn}
	c := &reusingConn{in: in, reader: bufio.NewReader(in)}
	prefix := lookupPrefix
	if use == keepsTimeStream || use == ignoresTime && rng.IntN(2) == 0 {
		prefix = longStreamPrefix
	}
	if c.ask(prefix, id+"-0") != nil {
		return // a request on a new connection, which others check
	}
	for i := range maxReuses {
		if c.last || ctx.Err() != nil {
			return
		}
		r := reusedRequest{id: fmt.Sprintf("%s-%d", id, i+1), use: use, instance: instance, notBefore: in.lastEmptyAt, receivedAt: time.Now(), announced: c.timeout}
		if i > 0 && use != keepsTimeStream {
			prefix = []string{lookupPrefix, orderPrefix}[rng.IntN(2)]
		}
		open := r.exchange(c, rng, prefix)
		tb.mu.Lock()
		tb.reusedRequests = append(tb.reusedRequests, r)
		tb.mu.Unlock()
		if !open {
			return
		}
	}
}

// exchange waits for a while and sends the request. It returns false if the connection is not used again.
func (r *reusedRequest) exchange(c *reusingConn, rng *rand.Rand, prefix string) bool {
	until := r.receivedAt.Add(r.announced)
	hold := time.Duration(rng.Int64N(int64(maxIgnorantHold)))
	if r.use != ignoresTime {
		if r.announced == 0 {
			r.result, r.sentAt, r.endedAt = reuseUnannounced, r.receivedAt, r.receivedAt
			return false
		}
		hold = time.Duration(rng.Int64N(int64(r.announced)))
		if rng.Float64() < lastMomentShare {
			hold = r.announced - lastMoment
		}
	}
	if !c.awaitEnd(r.receivedAt.Add(hold)) {
		r.result, r.sentAt, r.endedAt = reuseClosed, time.Now(), time.Now()
		return false
	}
	if now := time.Now(); r.use != ignoresTime && now.After(until) {
		r.result, r.sentAt, r.endedAt = reuseNotInTime, now, now
		return false
	}
	r.beganAt = time.Now()
	err := c.ask(prefix, r.id)
	r.sentAt, r.endedAt, r.result = c.sentAt, time.Now(), reuseAnswered
	switch {
	case errors.Is(err, errBrokenOff) && prefix == longStreamPrefix:
		r.result = reuseBrokenOff
	case err != nil:
		r.result = reuseCut
	}
	return err == nil
}

// reuseState is what the instance was doing when a request was sent.
type reuseState string

const (
	reuseServing     reuseState = "serving"
	reuseStopping    reuseState = "stopping"        // the stop began after the response before the request
	reuseAfterSignal reuseState = "stopping_before" // the response before the request ended after the stop signal
	reuseClosing     reuseState = "closing"         // in the last part of the grace period
)

// state returns the state at sentAt, and when the last part of the grace period begins if the instance was stopping.
func (r *reusedRequest) state(stops []interval, grace time.Duration) (state reuseState, closingAt time.Time) {
	for _, s := range stops {
		if s.start.After(r.sentAt) || !s.end.IsZero() && s.end.Before(r.receivedAt) {
			continue
		}
		closingAt = s.start.Add(grace - closingPart)
		switch {
		case !r.sentAt.Before(closingAt):
			return reuseClosing, closingAt
		case r.receivedAt.After(s.start):
			return reuseAfterSignal, closingAt
		}
		return reuseStopping, closingAt
	}
	return reuseServing, time.Time{}
}

// violation returns what is wrong with the result; "" if nothing is. The stop signal is sent before the process counts
// its grace period, so a request that was sent before closingAt has met no end of it. A caller that runs late may count the
// announced time from too late a moment; what it sends after reuseTransit proves nothing.
func (r *reusedRequest) violation(state reuseState, closingAt time.Time, ran bool) string {
	inTime := r.use != ignoresTime && r.announced > 0 && r.sentAt.Sub(r.notBefore) <= r.announced+reuseTransit
	switch r.result {
	case reuseCut:
		if inTime && state != reuseClosing {
			return "in_time"
		}
		if ran || r.endedAt.Sub(r.sentAt) > maxLossTime {
			return "lost"
		}
	case reuseClosed:
		if inTime && state != reuseClosing {
			return "early"
		}
	case reuseBrokenOff: // the time limit of the route breaks streams, and the end of the grace period
		if r.endedAt.Sub(r.beganAt) < routeTimeout && (closingAt.IsZero() || r.endedAt.Before(closingAt)) {
			return "early"
		}
	}
	return ""
}

// checkReuse checks that a caller that keeps to the announced time never has its connection closed without an answer,
// except at the end of the grace period, and that no caller loses a request in the way that [testbed.checkStops] checks.
func (tb *testbed) checkReuse() {
	ran := tb.executedIDs()
	counts := map[string]int{}
	for _, r := range tb.reusedRequests {
		in := tb.instances[r.instance]
		state, closingAt := r.state(in.stops.all(), in.times.grace)
		result := string(r.result)
		if violation := r.violation(state, closingAt, ran[r.id]); violation != "" {
			result += "_" + violation
			tb.addViolation("request %s (%s) at instance %d, %s: %s %v after the response before it had been read, at most %v after that had arrived; announced: %v, passed on: %t, ended after %v",
				r.id, reuseNames[r.use], r.instance, state, result, r.sentAt.Sub(r.receivedAt).Round(time.Millisecond),
				r.receivedAt.Sub(r.notBefore).Round(time.Millisecond), r.announced, ran[r.id], r.endedAt.Sub(r.sentAt).Round(time.Millisecond))
		}
		counts[fmt.Sprintf("%s/%s/%s", reuseNames[r.use], state, result)]++
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.reuseCounts = counts
}
