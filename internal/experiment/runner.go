package experiment

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

var errCallerLeft = errors.New("the caller left")

// runner runs one scenario.
type runner struct {
	scenario *Scenario
	runID    string
	http     *http.Client
	record   *recorder
	turn     atomic.Uint64
	open     chan struct{} // bounds the open requests
	requests sync.WaitGroup
}

// Run sends the scenario's load and reports. The deployment gives the targets of
// the classes and the addresses of the upstreams, whose stand-ins are asked what
// they executed and wasted. When ctx ends, sending stops and the report is partial.
func Run(ctx context.Context, s *Scenario, d *config.Deployment) *Report {
	r := &runner{
		scenario: s, runID: newRunID(), http: newHTTPClient(),
		record: newRecorder(s, func(class string) targets { return classTargets(d, class) }),
		open:   make(chan struct{}, s.MaxInFlight),
	}
	defer r.http.CloseIdleConnections()
	before := r.readWork(d)
	started := time.Now()
	r.record.begin(started)
	sent := r.sendAll(ctx, started)
	elapsed := time.Since(started)
	after := r.readWork(d)
	r.compareExecutions(d)
	report := r.report(before, after)
	report.Elapsed = elapsed.Seconds()
	report.Partial = !sent
	return report
}

// newRunID keeps the tags of two runs against the same stand-ins apart.
func newRunID() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// sendAll sends every arrival at its time and waits for the answers. It reports
// whether all were sent.
func (r *runner) sendAll(ctx context.Context, started time.Time) bool {
	total := r.scenario.Duration.Std() + r.scenario.Drain.Std()
	work, cancel := context.WithDeadline(ctx, started.Add(total))
	defer cancel()
	all := true
	for _, a := range Plan(r.scenario) {
		intended := started.Add(a.At)
		if all = sleep(ctx, time.Until(intended)) && ctx.Err() == nil; !all {
			break
		}
		select {
		case r.open <- struct{}{}:
		default:
			r.record.dropped(a)
			continue
		}
		r.record.started(a, time.Since(intended))
		r.requests.Go(func() {
			defer func() { <-r.open }()
			r.request(work, a, intended)
		})
	}
	r.requests.Wait()
	return all
}

// nextTarget alternates between the entry addresses, so that a resend goes to
// another one than the try before when there are several.
func (r *runner) nextTarget() string {
	n := r.turn.Add(1)
	list := r.scenario.Targets
	if r.scenario.Live != nil {
		if live := r.scenario.Live(); len(live) > 0 {
			list = live
		}
	}
	return list[n%uint64(len(list))]
}

// request sends one arrival with its resends.
func (r *runner) request(ctx context.Context, a Arrival, intended time.Time) {
	class := &r.scenario.Classes[a.Class]
	tag := fmt.Sprintf("%s-%d-%d", r.runID, a.Class, a.Number)
	c := call{key: class.Teams[a.Team].Key, class: class.Class}
	if a.Order {
		r.record.ordered(a, intended, r.order(ctx, c, tag))
		return
	}
	if a.Leave > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, intended.Add(a.Leave), errCallerLeft)
		defer cancel()
	}
	c.path = emulator.PathChat
	for try := 0; ; try++ {
		target := r.nextTarget()
		if target == c.target {
			target = r.nextTarget()
		}
		c.target = target
		t := r.tryChat(ctx, c, fmt.Sprintf("%s-%d", tag, try), class, a)
		if try == class.Resend.Attempts || !resendable(t) || !sleep(ctx, class.Resend.pause(t)) {
			if ctx.Err() != nil && context.Cause(ctx) == errCallerLeft && t.ending != answered {
				t.ending = abandoned
			}
			r.record.ended(a, intended, t, try)
			return
		}
	}
}

func (r *runner) tryChat(ctx context.Context, c call, tag string, class *ClassLoad, a Arrival) attempt {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Timeout.Std())
	defer cancel()
	c.body = chatBody(tag, class, a)
	t := r.chat(ctx, c, tag, a)
	r.record.tried(a, tag, t)
	return t
}

// resendable reports whether a caller would send the request again. Once tokens
// have arrived it would not.
func resendable(t attempt) bool {
	switch t.ending {
	case refused:
		switch t.failure.Code {
		case "overloaded", "deadline", "upstream_failed", "draining", "request_timeout":
			return true
		}
		return strings.HasPrefix(t.failure.Code, "status_")
	case broken:
		return t.tokens == 0
	}
	return false
}

func (p Resend) pause(t attempt) time.Duration {
	pause := p.Pause.Std()
	if !p.IgnoreRetryAfter {
		pause = max(pause, time.Duration(t.failure.RetryAfterMs)*time.Millisecond)
	}
	return pause
}

// chatBody builds the request. Its prompt has the planned number of tokens: the
// shared text first, then text that no other request has.
func chatBody(tag string, class *ClassLoad, a Arrival) []byte {
	shared := 0
	var prompt strings.Builder
	if p := class.SharedPrefix; p != nil {
		shared = min(p.Tokens, a.Prompt)
		prompt.WriteString(filler(fmt.Sprintf("%s/%d", class.Class, a.Prefix), shared))
	}
	prompt.WriteString(filler(tag, a.Prompt-shared))
	body, err := json.Marshal(emulator.ChatRequest{
		Model: class.Model, Stream: !a.JSON, MaxTokens: class.Output.Max,
		Messages: []emulator.ChatMessage{{Role: "user", Content: prompt.String()}},
		Emulate:  &emulator.EmulateOptions{OutputTokens: a.Output, Echo: tag},
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return body
}

// filler returns text of n tokens that depends on the seed.
func filler(seed string, n int) string {
	const size = 4 // bytes per token, as the engine stand-in counts
	unit := emulator.Checksum(seed) + " "
	return strings.Repeat(unit, n*size/len(unit)+1)[:n*size]
}
