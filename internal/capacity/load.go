package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// load is a closed loop of callers that each send one request after the other.
type load struct {
	Targets  []string `json:"targets"` // the callers use them in turn
	Callers  int      `json:"callers"`
	Requests int      `json:"requests"` // of each caller
	Tokens   int      `json:"tokens"`   // of each answer
	Teams    int      `json:"teams"`    // the callers use the keys of these teams in turn
	// FirstTeam is the team of the first caller.
	FirstTeam int  `json:"first_team"`
	Whole     bool `json:"whole"` // answers are not streamed
}

// loadResult sums up a load.
type loadResult struct {
	Requests int64         `json:"requests"`
	Failed   int64         `json:"failed"`
	Events   int64         `json:"events"` // one for each token and one that ends the answer
	P50      time.Duration `json:"p50"`    // to the first event
	P99      time.Duration `json:"p99"`
	Error    string        `json:"error,omitempty"` // one of the failures
}

type runningLoad struct {
	load   load
	group  sync.WaitGroup
	events atomic.Int64
	done   atomic.Int64
	failed atomic.Int64
	opened atomic.Int64

	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	failure string
}

// requestTimeout bounds one request of a load.
const requestTimeout = time.Minute

func startLoad(ctx context.Context, l load) *runningLoad {
	r := &runningLoad{load: l, first: hdrhistogram.New(1, int64(requestTimeout/time.Microsecond), 3)}
	for i := range l.Callers {
		r.group.Go(func() {
			if err := r.caller(ctx, i); err != nil {
				r.failed.Add(1)
				r.mu.Lock()
				r.failure = err.Error()
				r.mu.Unlock()
			}
		})
	}
	return r
}

func (r *runningLoad) wait() loadResult {
	r.group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return loadResult{Requests: r.done.Load(), Failed: r.failed.Load(), Events: r.events.Load(), Error: r.failure,
		P50: time.Duration(r.first.ValueAtQuantile(50)) * time.Microsecond, P99: time.Duration(r.first.ValueAtQuantile(99)) * time.Microsecond}
}

// awaitOpen waits until every caller has received a token.
func (r *runningLoad) awaitOpen(ctx context.Context) error {
	limit := time.Now().Add(requestTimeout)
	for r.opened.Load() < int64(r.load.Callers) {
		if r.failed.Load() > 0 || time.Now().After(limit) {
			return errors.Errorf("%d of %d streams opened, %d failed", r.opened.Load(), r.load.Callers, r.failed.Load())
		}
		if err := wait(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// caller sends the requests of one connection.
func (r *runningLoad) caller(ctx context.Context, i int) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", r.load.Targets[i%len(r.load.Targets)])
	if err != nil {
		return err
	}
	defer c.Close()
	key := demoKey((r.load.FirstTeam + i) % max(r.load.Teams, 1))
	in := bufio.NewReaderSize(c, 1<<10)
	for n := range r.load.Requests {
		body := fmt.Sprintf(`{"model":"m0","stream":%t,"messages":[{"role":"user","content":"call %d of caller %d"}],"emulate":{"output_tokens":%d}}`,
			!r.load.Whole, n, i, r.load.Tokens)
		text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nX-Request-Id: c%d-%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			key, i, n, len(body), body)
		if err := c.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
			return err
		}
		sent := time.Now()
		if _, err := c.Write([]byte(text)); err != nil {
			return err
		}
		if err := r.answer(in, sent); err != nil {
			return err
		}
		r.done.Add(1)
	}
	return nil
}

// answer reads one answer and counts its events.
func (r *runningLoad) answer(in *bufio.Reader, sent time.Time) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewReaderSize(resp.Body, 1<<10)
	for events := 0; ; {
		line, err := lines.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: [DONE]")) || err != nil && r.load.Whole {
			if events == 0 {
				r.observe(sent)
			}
			_, err := lines.Discard(1 << 20) // up to the end of the answer
			_ = err
			return nil
		}
		if err != nil {
			return err
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			if events++; events == 1 {
				r.observe(sent)
			}
			r.events.Add(1)
		}
	}
}

func (r *runningLoad) observe(sent time.Time) {
	took := time.Since(sent)
	r.opened.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	// A value above the histogram's range cannot occur: the deadline is shorter.
	_ = r.first.RecordValue(max(1, took.Microseconds()))
}

func demoKey(team int) string { return fmt.Sprint("key-of-team-", team) }
