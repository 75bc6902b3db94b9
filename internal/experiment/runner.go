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
	scenario            *Scenario
	runID               string
	http                *http.Client
	recorder            *recorder
	entryAddressCounter atomic.Uint64
	inFlight            chan struct{} // semaphore of the concurrent requests
	requests            sync.WaitGroup
}

// Run sends the load of the scenario and returns a report. The deployment provides the
// latency targets of the classes and the addresses of the upstreams, whose stand-ins
// report the executed and the wasted work. When ctx ends, sending stops and the report is
// partial.
func Run(ctx context.Context, s *Scenario, d *config.Deployment) *Report {
	r := &runner{
		scenario: s, runID: newRunID(), http: newHTTPClient(),
		recorder: newRecorder(s, func(class string) classTargets { return lookupLatencyTargets(d, class) }),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
	defer r.http.CloseIdleConnections()
	before := r.readCounters(d)
	runStart := time.Now()
	r.recorder.setMeasurementWindow(runStart)
	complete := r.sendAll(ctx, runStart)
	elapsed := time.Since(runStart)
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

// sendAll sends every arrival at its intended send time and waits for the responses. It
// returns false if ctx ended before the last arrival was due.
func (r *runner) sendAll(ctx context.Context, runStart time.Time) bool {
	// Sending, then the time for which responses are awaited.
	maxRunDuration := r.scenario.Duration.Std() + r.scenario.Drain.Std()
	requestCtx, cancel := context.WithDeadline(ctx, runStart.Add(maxRunDuration))
	defer cancel()
	allSent := true
	for _, arrival := range Plan(r.scenario) {
		intendedSendTime := runStart.Add(arrival.At)
		if allSent = sleep(ctx, time.Until(intendedSendTime)) && ctx.Err() == nil; !allSent {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.recorder.recordNotSent(arrival)
			continue
		}
		r.recorder.recordSent(arrival, time.Since(intendedSendTime))
		r.requests.Go(func() {
			defer func() { <-r.inFlight }()
			r.sendRequest(requestCtx, arrival, intendedSendTime)
		})
	}
	r.requests.Wait()
	return allSent
}

// nextEntryAddress returns the entry addresses in turn, so that a resend normally goes to
// another address than the previous attempt. Concurrent requests share the counter.
func (r *runner) nextEntryAddress() string {
	n := r.entryAddressCounter.Add(1)
	addresses := r.scenario.EntryAddresses
	if r.scenario.CurrentEntryAddresses != nil {
		if current := r.scenario.CurrentEntryAddresses(); len(current) > 0 {
			addresses = current
		}
	}
	return addresses[n%uint64(len(addresses))]
}

// sendRequest sends one arrival with its resends.
func (r *runner) sendRequest(ctx context.Context, arrival Arrival, intendedSendTime time.Time) {
	class := &r.scenario.Classes[arrival.Class]
	tag := fmt.Sprintf("%s-%d-%d", r.runID, arrival.Class, arrival.Index)
	entryReq := entryRequest{key: class.Teams[arrival.Team].Key, class: class.Class}
	if arrival.Order {
		r.recorder.recordOrder(arrival, intendedSendTime, r.sendOrder(ctx, entryReq, tag))
		return
	}
	if arrival.AbandonAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, intendedSendTime.Add(arrival.AbandonAfter), errCallerAbandoned)
		defer cancel()
	}
	entryReq.path = emulator.PathChat
	for resends := 0; ; resends++ {
		address := r.nextEntryAddress()
		if address == entryReq.entryAddress {
			address = r.nextEntryAddress()
		}
		entryReq.entryAddress = address
		result := r.attemptChat(ctx, entryReq, fmt.Sprintf("%s-%d", tag, resends), class, arrival)
		if resends == class.Resend.Attempts || !shouldResend(result) || !sleep(ctx, class.Resend.delayAfter(result)) {
			if ctx.Err() != nil && context.Cause(ctx) == errCallerAbandoned && result.outcome != outcomeAnswered {
				result.outcome = outcomeAbandoned
			}
			r.recorder.recordFinalResult(arrival, intendedSendTime, result, resends)
			return
		}
	}
}

// attemptChat makes one attempt of a chat request within the time limit and records it.
func (r *runner) attemptChat(ctx context.Context, entryReq entryRequest, tag string, class *ClassLoad, arrival Arrival) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Timeout.Std())
	defer cancel()
	entryReq.body = chatBody(tag, class, arrival)
	result := r.sendChat(ctx, entryReq, tag, arrival)
	r.recorder.recordAttempt(arrival, tag, result)
	return result
}

// shouldResend reports whether a caller sends the request again. A caller that has
// received tokens does not.
func shouldResend(result attemptResult) bool {
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

// delayAfter returns the delay before a resend: the configured pause, or the delay that the
// response asks for if that is longer and not ignored.
func (r Resend) delayAfter(result attemptResult) time.Duration {
	delay := r.Pause.Std()
	if !r.IgnoreRetryAfter {
		delay = max(delay, time.Duration(result.apiError.RetryAfterMs)*time.Millisecond)
	}
	return delay
}

// chatBody builds the body of a chat request. The prompt has the planned number of
// tokens: the shared prefix, followed by text that is unique to the attempt.
func chatBody(tag string, class *ClassLoad, arrival Arrival) []byte {
	sharedTokens := 0
	var prompt strings.Builder
	if p := class.SharedPrefix; p != nil {
		sharedTokens = min(p.Tokens, arrival.PromptTokens)
		prompt.WriteString(fillerText(fmt.Sprintf("%s/%d", class.Class, arrival.PrefixIndex), sharedTokens))
	}
	prompt.WriteString(fillerText(tag, arrival.PromptTokens-sharedTokens))
	body, err := json.Marshal(emulator.ChatRequest{
		Model: class.Model, Stream: !arrival.JSON, MaxTokens: class.Output.Max,
		Messages: []emulator.ChatMessage{{Role: "user", Content: prompt.String()}},
		Emulate:  &emulator.EmulateOptions{OutputTokens: arrival.OutputTokens, Echo: tag},
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
