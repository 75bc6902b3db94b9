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

// loadSpec describes a closed-loop load: each caller sends its next request after the
// response to the previous one.
type loadSpec struct {
	Targets           []string `json:"targets"` // assigned to the callers in turn
	Callers           int      `json:"callers"`
	RequestsPerCaller int      `json:"requests"`
	TokensPerResponse int      `json:"tokens"`
	Teams             int      `json:"teams"` // the keys of these teams are assigned to the callers in turn
	// FirstTeam is the index of the first caller's team.
	FirstTeam    int  `json:"first_team"`
	NonStreaming bool `json:"whole"` // responses are not streamed
}

// loadResult summarizes a completed load.
type loadResult struct {
	Requests      int64         `json:"requests"`
	Failed        int64         `json:"failed"`
	Events        int64         `json:"events"` // one per token and one that ends the response
	FirstEventP50 time.Duration `json:"p50"`    // time from sending a request to its first event
	FirstEventP99 time.Duration `json:"p99"`
	Error         string        `json:"error,omitempty"` // the last failure
}

// runningLoad is a load in progress.
type runningLoad struct {
	spec        loadSpec
	callers     sync.WaitGroup
	events      atomic.Int64
	completed   atomic.Int64
	failed      atomic.Int64
	firstEvents atomic.Int64

	mu                sync.Mutex
	firstEventLatency *hdrhistogram.Histogram
	lastError         string
}

// requestTimeout limits the duration of a single request.
const requestTimeout = time.Minute

// startLoad starts the callers of a load.
func startLoad(ctx context.Context, l loadSpec) *runningLoad {
	r := &runningLoad{spec: l, firstEventLatency: hdrhistogram.New(1, int64(requestTimeout/time.Microsecond), 3)}
	for i := range l.Callers {
		r.callers.Go(func() {
			if err := r.runCaller(ctx, i); err != nil {
				r.failed.Add(1)
				r.mu.Lock()
				r.lastError = err.Error()
				r.mu.Unlock()
			}
		})
	}
	return r
}

func (r *runningLoad) wait() loadResult {
	r.callers.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return loadResult{Requests: r.completed.Load(), Failed: r.failed.Load(), Events: r.events.Load(), Error: r.lastError,
		FirstEventP50: time.Duration(r.firstEventLatency.ValueAtQuantile(50)) * time.Microsecond, FirstEventP99: time.Duration(r.firstEventLatency.ValueAtQuantile(99)) * time.Microsecond}
}

// awaitStreamsOpen waits until every caller has received its first event.
func (r *runningLoad) awaitStreamsOpen(ctx context.Context) error {
	deadline := time.Now().Add(requestTimeout)
	for r.firstEvents.Load() < int64(r.spec.Callers) {
		if r.failed.Load() > 0 || time.Now().After(deadline) {
			return errors.Errorf("%d of %d streams opened, %d failed", r.firstEvents.Load(), r.spec.Callers, r.failed.Load())
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// runCaller sends the requests of one caller over a single connection.
func (r *runningLoad) runCaller(ctx context.Context, i int) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", r.spec.Targets[i%len(r.spec.Targets)])
	if err != nil {
		return err
	}
	defer c.Close()
	key := teamKey((r.spec.FirstTeam + i) % max(r.spec.Teams, 1))
	reader := bufio.NewReaderSize(c, 1<<10)
	for n := range r.spec.RequestsPerCaller {
		body := fmt.Sprintf(`{"model":"m0","stream":%t,"messages":[{"role":"user","content":"call %d of caller %d"}],"emulate":{"output_tokens":%d}}`,
			!r.spec.NonStreaming, n, i, r.spec.TokensPerResponse)
		request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nX-Request-Id: c%d-%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			key, i, n, len(body), body)
		if err := c.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
			return err
		}
		sentAt := time.Now()
		if _, err := c.Write([]byte(request)); err != nil {
			return err
		}
		if err := r.readResponse(reader, sentAt); err != nil {
			return err
		}
		r.completed.Add(1)
	}
	return nil
}

// readResponse reads one response and counts its events.
func (r *runningLoad) readResponse(reader *bufio.Reader, sentAt time.Time) error {
	resp, err := http.ReadResponse(reader, nil)
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
		if bytes.HasPrefix(line, []byte("data: [DONE]")) || err != nil && r.spec.NonStreaming {
			if events == 0 {
				r.recordFirstEvent(sentAt)
			}
			_, err := lines.Discard(1 << 20) // read to the end of the response
			_ = err
			return nil
		}
		if err != nil {
			return err
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			if events++; events == 1 {
				r.recordFirstEvent(sentAt)
			}
			r.events.Add(1)
		}
	}
}

func (r *runningLoad) recordFirstEvent(sentAt time.Time) {
	elapsed := time.Since(sentAt)
	r.firstEvents.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The value cannot exceed the range of the histogram: the connection deadline expires
	// first.
	_ = r.firstEventLatency.RecordValue(max(1, elapsed.Microseconds()))
}

func teamKey(team int) string { return fmt.Sprint("key-of-team-", team) }
