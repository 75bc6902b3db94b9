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

var errCallerAbandoned = errors.New("the caller closed the connection")

// runner executes one scenario.
type runner struct {
	scenario      *Scenario
	runID         string
	http          *http.Client
	recorder      *recorder
	targetCounter atomic.Uint64
	inFlight      chan struct{} // semaphore of the concurrent requests
	requests      sync.WaitGroup
}

// Run sends the load of the scenario and returns a report. The deployment provides the
// latency targets of the classes and the addresses of the upstreams, whose stand-ins
// report the executed and the wasted work. When ctx ends, sending stops and the report is
// partial.
func Run(ctx context.Context, s *Scenario, d *config.Deployment) *Report {
	r := &runner{
		scenario: s, runID: newRunID(), http: newHTTPClient(),
		recorder: newRecorder(s, func(class string) latencyTargets { return lookupTargets(d, class) }),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
	defer r.http.CloseIdleConnections()
	before := r.readCounters(d)
	started := time.Now()
	r.recorder.startWindow(started)
	complete := r.sendAll(ctx, started)
	elapsed := time.Since(started)
	after := r.readCounters(d)
	r.compareExecutions(d)
	report := r.buildReport(before, after)
	report.ElapsedSeconds = elapsed.Seconds()
	report.Partial = !complete
	return report
}

// newRunID returns a random identifier that makes tags unique across runs against the
// same stand-ins.
func newRunID() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// sendAll sends every arrival at its intended time and waits for the responses. It
// returns false if ctx ended before the last arrival was due.
func (r *runner) sendAll(ctx context.Context, started time.Time) bool {
	total := r.scenario.Duration.Std() + r.scenario.Drain.Std()
	requestCtx, cancel := context.WithDeadline(ctx, started.Add(total))
	defer cancel()
	allSent := true
	for _, a := range Plan(r.scenario) {
		intended := started.Add(a.At)
		if allSent = sleep(ctx, time.Until(intended)) && ctx.Err() == nil; !allSent {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.recorder.recordNotSent(a)
			continue
		}
		r.recorder.recordSent(a, time.Since(intended))
		r.requests.Go(func() {
			defer func() { <-r.inFlight }()
			r.sendRequest(requestCtx, a, intended)
		})
	}
	r.requests.Wait()
	return allSent
}

// nextTarget returns the entry addresses in turn, so that a resend normally goes to
// another address than the previous attempt.
func (r *runner) nextTarget() string {
	n := r.targetCounter.Add(1)
	targets := r.scenario.Targets
	if r.scenario.CurrentTargets != nil {
		if current := r.scenario.CurrentTargets(); len(current) > 0 {
			targets = current
		}
	}
	return targets[n%uint64(len(targets))]
}

// sendRequest sends one arrival with its resends.
func (r *runner) sendRequest(ctx context.Context, a Arrival, intended time.Time) {
	class := &r.scenario.Classes[a.Class]
	tag := fmt.Sprintf("%s-%d-%d", r.runID, a.Class, a.Index)
	entryReq := entryRequest{key: class.Teams[a.Team].Key, class: class.Class}
	if a.Order {
		r.recorder.recordOrder(a, intended, r.sendOrder(ctx, entryReq, tag))
		return
	}
	if a.AbandonAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, intended.Add(a.AbandonAfter), errCallerAbandoned)
		defer cancel()
	}
	entryReq.path = emulator.PathChat
	for resends := 0; ; resends++ {
		target := r.nextTarget()
		if target == entryReq.target {
			target = r.nextTarget()
		}
		entryReq.target = target
		result := r.attemptChat(ctx, entryReq, fmt.Sprintf("%s-%d", tag, resends), class, a)
		if resends == class.Resend.Attempts || !shouldResend(result) || !sleep(ctx, class.Resend.delayAfter(result)) {
			if ctx.Err() != nil && context.Cause(ctx) == errCallerAbandoned && result.outcome != outcomeAnswered {
				result.outcome = outcomeAbandoned
			}
			r.recorder.recordOutcome(a, intended, result, resends)
			return
		}
	}
}

func (r *runner) attemptChat(ctx context.Context, entryReq entryRequest, tag string, class *ClassLoad, a Arrival) attempt {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Timeout.Std())
	defer cancel()
	entryReq.body = chatBody(tag, class, a)
	result := r.sendChat(ctx, entryReq, tag, a)
	r.recorder.recordAttempt(a, tag, result)
	return result
}

// shouldResend reports whether a caller sends the request again. A caller that has
// received tokens does not.
func shouldResend(result attempt) bool {
	switch result.outcome {
	case outcomeRefused:
		switch result.apiError.Code {
		case "overloaded", "deadline", "upstream_failed", "draining", "request_timeout":
			return true
		}
		return strings.HasPrefix(result.apiError.Code, "status_")
	case outcomeBroken:
		return result.tokens == 0
	}
	return false
}

func (p Resend) delayAfter(result attempt) time.Duration {
	pause := p.Pause.Std()
	if !p.IgnoreRetryAfter {
		pause = max(pause, time.Duration(result.apiError.RetryAfterMs)*time.Millisecond)
	}
	return pause
}

// chatBody builds the body of a chat request. The prompt has the planned number of
// tokens: the shared prefix, followed by text that is unique to the attempt.
func chatBody(tag string, class *ClassLoad, a Arrival) []byte {
	sharedTokens := 0
	var prompt strings.Builder
	if p := class.SharedPrefix; p != nil {
		sharedTokens = min(p.Tokens, a.PromptTokens)
		prompt.WriteString(fillerText(fmt.Sprintf("%s/%d", class.Class, a.PrefixIndex), sharedTokens))
	}
	prompt.WriteString(fillerText(tag, a.PromptTokens-sharedTokens))
	body, err := json.Marshal(emulator.ChatRequest{
		Model: class.Model, Stream: !a.JSON, MaxTokens: class.Output.Max,
		Messages: []emulator.ChatMessage{{Role: "user", Content: prompt.String()}},
		Emulate:  &emulator.EmulateOptions{OutputTokens: a.OutputTokens, Echo: tag},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}

// fillerText returns a text of n tokens that is determined by the seed.
func fillerText(seed string, n int) string {
	const bytesPerToken = 4 // the engine stand-in counts four bytes as one token
	word := emulator.Checksum(seed) + " "
	return strings.Repeat(word, n*bytesPerToken/len(word)+1)[:n*bytesPerToken]
}
