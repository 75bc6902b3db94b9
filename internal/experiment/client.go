package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

const (
	pathTickets   = "/v1/orders/tickets"
	headerClass   = "X-Class"
	maxErrorBytes = 1 << 20
	runNotRun     = "not_run"
)

// apiError is the body of an error answer and of an error event.
type apiError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Run          string `json:"run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	// Ticket is the new ticket of an order that was answered with "not run".
	Ticket string `json:"ticket"`
}

// ending says how an attempt ended.
type ending int

const (
	answered  ending = iota
	refused          // with an error answer before the first token
	broken           // the connection or the stream failed
	abandoned        // the caller left
	timedOut
)

// attempt is the result of one try.
type attempt struct {
	ending     ending
	failure    apiError
	first      time.Time // first token, or the whole answer
	last       time.Time
	tokens     int
	violations []Violation
}

// newHTTPClient returns a client that streams and that closes the connection when
// a request's context ends.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		// A proxy setting of the environment must not divert loopback traffic.
		Proxy: nil,
	}}
}

// call is a request to an entry instance.
type call struct {
	target, path string
	key, class   string
	ticket       string
	body         []byte
}

func (r *runner) send(ctx context.Context, c call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.target+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	// Without this the client would repeat a request on a broken idle connection by
	// itself, and the repetition would not be counted.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerClass, c.class)
	if c.ticket != "" {
		req.Header.Set(emulator.HeaderOrderTicket, c.ticket)
	}
	return r.http.Do(req)
}

// chat makes one try of a chat request and checks the answer.
func (r *runner) chat(ctx context.Context, c call, tag string, a Arrival) attempt {
	res, err := r.send(ctx, c)
	if err != nil {
		return attempt{ending: interrupted(ctx)}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readFailure(ctx, res)
	}
	k := &checker{tag: tag, header: res.Header.Get(emulator.HeaderRequestID), want: a.Output}
	var t attempt
	if a.JSON {
		t = readWhole(ctx, res.Body, k)
	} else {
		t = readStream(ctx, res.Body, k)
	}
	t.tokens, t.violations = k.next, k.found
	return t
}

// interrupted tells a caller that left from a time limit and from a broken connection.
func interrupted(ctx context.Context) ending {
	switch context.Cause(ctx) {
	case nil:
		return broken
	case errCallerLeft:
		return abandoned
	}
	return timedOut
}

func readFailure(ctx context.Context, res *http.Response) attempt {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return attempt{ending: interrupted(ctx)}
	}
	var f struct {
		Error apiError `json:"error"`
	}
	if json.Unmarshal(body, &f) != nil || f.Error.Code == "" {
		f.Error.Code = "status_" + http.StatusText(res.StatusCode)
	}
	if f.Error.Ticket == "" {
		f.Error.Ticket = res.Header.Get(emulator.HeaderOrderTicket)
	}
	return attempt{ending: refused, failure: f.Error}
}

func readWhole(ctx context.Context, body io.Reader, k *checker) attempt {
	text, err := io.ReadAll(body)
	if err != nil {
		return attempt{ending: interrupted(ctx)}
	}
	now := time.Now()
	var a emulator.ChatResponse
	if err := json.Unmarshal(text, &a); err != nil {
		k.fail(Unparsable, "%v", err)
	} else {
		k.whole(&a)
	}
	return attempt{ending: answered, first: now, last: now}
}

// event is an event of a stream: a part of the answer or an error.
type event struct {
	emulator.ChatResponse
	Error *apiError `json:"error"`
}

func readStream(ctx context.Context, body io.Reader, k *checker) attempt {
	var t attempt
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		data, isData := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data: ")
		switch {
		case err == io.EOF || isData && data == "[DONE]":
			k.done()
			t.ending = answered
			return t
		case err != nil:
			t.ending = interrupted(ctx)
			return t
		case !isData:
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			k.fail(Unparsable, "%v", err)
			continue
		}
		if e.Error != nil {
			t.ending, t.failure = broken, *e.Error
			return t
		}
		if k.event(&e.ChatResponse) {
			t.last = time.Now()
			if t.first.IsZero() {
				t.first = t.last
			}
		}
	}
}
