//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// caller is one connection of the crowd: it sends a head, then a text again and again until it has sent a number of bytes,
// and keeps the connection open.
type caller struct {
	head   string
	repeat string
	bytes  int  // to send after the head
	reads  bool // what the instance sends, as it arrives
}

const (
	// sendTimeout bounds the time for which one caller goes on sending.
	sendTimeout = 6 * time.Second
	// writeBytes is how much of the repeated text is sent in one write.
	writeBytes = 16 << 10
)

// run connects and sends until it has sent everything, the connection ends or the time is over. The connection stays open
// until leave is closed.
func (c caller) run(address string, sent *sync.WaitGroup, leave <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		sent.Done()
		return
	}
	defer conn.Close()
	if c.reads {
		go func() {
			_, _ = io.Copy(io.Discard, conn) // until the connection ends
		}()
	}
	c.send(conn)
	sent.Done()
	<-leave
}

func (c caller) send(conn net.Conn) {
	if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(conn, c.head); err != nil {
		return
	}
	if c.repeat == "" {
		return
	}
	block := strings.Repeat(c.repeat, max(1, writeBytes/len(c.repeat)))
	for left := c.bytes; left > 0; left -= len(block) {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}

// chunk returns a body in one chunk.
func chunk(bytes int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes))
}

// crowdCase is a crowd and what must hold while it is there.
type crowdCase struct {
	name        string
	connections int
	caller      caller
}

// crowdCases returns the crowds, whose requests begin with a request line and header fields without the empty line. The
// limit of a body is 1,048,576 bytes. They are fixed: a change would make results incomparable.
func crowdCases(head string) []crowdCase {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	framed := func(data int, chunkBytes int) int { return data / chunkBytes * len(chunk(chunkBytes)) }
	return []crowdCase{
		{"unfinished bodies in large chunks", 300, caller{head: chunked, repeat: chunk(4096), bytes: framed(1_000_000, 4096), reads: true}},
		{"unfinished bodies in small chunks", 300, caller{head: chunked, repeat: chunk(17), bytes: framed(1_000_000, 17), reads: true}},
		{"unfinished bodies in chunks of a byte", 300, caller{head: chunked, repeat: chunk(1), bytes: framed(60_000, 1), reads: true}},
		{"unfinished bodies with a length", 300, caller{head: head + "Content-Length: 1000001\r\n\r\n", repeat: "x", bytes: 1_000_000, reads: true}},
		{"announced bodies over the limit", 100, caller{head: head + "Content-Length: 100000000\r\n\r\n", repeat: "x", bytes: 16_000_000}},
		{"sent bodies over the limit", 100, caller{head: chunked, repeat: chunk(4096), bytes: 16_000_000}},
		{"chunk extensions without end", 300, caller{head: chunked + "1;a=", repeat: "x", bytes: 1_000_000, reads: true}},
		{"trailers without end", 300, caller{head: chunked + "0\r\n", repeat: "X-Field: y\r\n", bytes: 1_000_000, reads: true}},
		{"heads without end", 300, caller{head: head, repeat: "X-Field: y\r\n", bytes: 1_000_000, reads: true}},
		{"unfinished heads", 300, caller{head: head, repeat: "X-Field: y\r\n", bytes: 12_000, reads: true}},
		{"connections without a request", 1500, caller{}},
		{"requests whose answers nobody reads", 300, caller{head: "", repeat: head + "Content-Length: 2\r\n\r\n{}", bytes: 200_000}},
	}
}

// bounds are the largest values allowed.
type bounds struct{ memoryBytes, descriptors int }

// expectSurvival runs a crowd against a daemon. ordinary sends an ordinary request and reports whether it was answered.
func expectSurvival(t *testing.T, d *daemon, c crowdCase, b bounds, ordinary func() bool) {
	t.Helper()
	stop := d.watch()
	leave := make(chan struct{})
	var sent, gone sync.WaitGroup
	for range c.connections {
		sent.Add(1)
		gone.Go(func() { c.caller.run(d.callers, &sent, leave) })
	}
	sent.Wait()
	answered := d.lives() && succeeds(ordinary) // while the crowd is there
	close(leave)
	gone.Wait()
	most := stop()
	t.Logf("at most %.1f MB resident, %.1f MB unread, %d descriptors", float64(most.residentBytes)/1e6, float64(most.unreadBytes)/1e6, most.descriptors)
	if !d.lives() {
		t.Error("the process has ended")
	}
	if most.memoryBytes() > b.memoryBytes {
		t.Errorf("%.1f MB of memory, want at most %.1f MB", float64(most.memoryBytes())/1e6, float64(b.memoryBytes)/1e6)
	}
	if most.descriptors > b.descriptors {
		t.Errorf("%d descriptors, want at most %d", most.descriptors, b.descriptors)
	}
	if !answered {
		t.Error("an ordinary request got no answer while the crowd was there")
	}
	if d.lives() && !succeeds(ordinary) {
		t.Error("an ordinary request got no answer after the crowd had left")
	}
}

// succeeds tries until it succeeds or testTimeout is over.
func succeeds(try func() bool) bool {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if try() {
			return true
		}
	}
	return false
}
