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
)

const (
	// stopCallers is the number of callers that hold connections before they use them.
	stopCallers = 24
	// maxHold is the longest time for which such a caller holds a connection, or a part of a request.
	maxHold = 700 * time.Millisecond
	// maxLossTime is the time after a whole request was sent within which its connection may end without an answer:
	// the request has met the end of the connection on its way. It includes an allowance for a busy machine.
	maxLossTime = 500 * time.Millisecond
)

// connUse is how a caller uses a connection before its request.
type connUse int

const (
	freshConn  connUse = iota // the request follows the handshake
	unusedConn                // the connection is held before its first request
	keptConn                  // it has carried a request and is held
	halfSent                  // a part of the request is sent and the rest is held
	connUseCount
)

var connUseNames = [connUseCount]string{"fresh", "unused", "kept", "half_sent"}

// heldRequest is a request on a connection that its caller may have held.
type heldRequest struct {
	id          string
	use         connUse
	instance    int
	sent, ended time.Time // sent: its last byte
	status      int       // 0: the connection ended without an answer
}

// runStopCaller sends requests on connections that it holds for a while, until ctx is done.
func (tb *testbed) runStopCaller(ctx context.Context, seed uint64, number int) {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+number)))
	hold := func() { sleepContext(ctx, time.Duration(rng.Int64N(int64(maxHold)))) }
	for n := 0; ctx.Err() == nil; n++ {
		r := heldRequest{id: fmt.Sprintf("held-%d-%d", number, n), use: connUse(rng.IntN(int(connUseCount))), instance: rng.IntN(len(tb.instances))}
		prefix := []string{lookupPrefix, orderPrefix}[rng.IntN(2)]
		if r.exchange(tb.instances[r.instance].callers, prefix, hold) {
			tb.mu.Lock()
			tb.heldRequests = append(tb.heldRequests, r)
			tb.mu.Unlock()
		}
		sleepContext(ctx, time.Duration(rng.Int64N(int64(20*time.Millisecond))))
	}
}

// exchange sends the request on a new connection. It returns false if the request could not be sent whole.
func (r *heldRequest) exchange(address, prefix string, hold func()) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	ask := func(id string, whileHalfSent func()) (int, bool) {
		if _, err := fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", prefix, id, hostName, id, requestTimeout.Milliseconds()); err != nil {
			return 0, false
		}
		whileHalfSent()
		if _, err := fmt.Fprintf(c, "Authorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", permanentKey); err != nil {
			return 0, false
		}
		r.sent = time.Now()
		return readStatus(c, reader), true
	}
	none := func() {}
	switch r.use {
	case unusedConn:
		hold()
	case keptConn:
		if status, sent := ask(r.id+"-before", none); !sent || status == 0 {
			return false
		}
		hold()
	case halfSent:
		none = hold
	}
	status, sent := ask(r.id, none)
	r.status, r.ended = status, time.Now()
	return sent
}

// readStatus reads a response and returns its status; 0 if the connection ends without a whole one.
func readStatus(c net.Conn, reader *bufio.Reader) int {
	if c.SetReadDeadline(time.Now().Add(callTimeout)) != nil {
		return 0
	}
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// executedIDs returns the IDs of the requests that upstreams have executed.
func (tb *testbed) executedIDs() map[string]bool {
	ran := map[string]bool{}
	for _, u := range tb.upstreams {
		for _, e := range u.Executions() {
			ran[e.ID] = true
		}
	}
	return ran
}

// checkStops checks that no request is lost by a planned stop: one that was passed on, or whose connection ended later
// than it could have met the end on its way.
func (tb *testbed) checkStops() {
	ran := tb.executedIDs()
	counts := map[string]int{}
	for _, r := range tb.heldRequests {
		state, result := "serving", "answered"
		if !tb.instances[r.instance].stops.inactiveBetween(r.sent, r.sent.Add(time.Nanosecond)) {
			state = "stopping"
		}
		after := r.ended.Sub(r.sent)
		if r.status == 0 {
			result = "not_read"
			if ran[r.id] || after > maxLossTime {
				result = "lost"
				tb.addViolation("request %s (%s) at instance %d, %s: no answer after %v, passed on: %t", r.id, connUseNames[r.use], r.instance, state, after.Round(time.Millisecond), ran[r.id])
			}
		}
		counts[fmt.Sprintf("%s/%s/%s", connUseNames[r.use], state, result)]++
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.heldCounts = counts
}
