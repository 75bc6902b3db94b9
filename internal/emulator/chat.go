package emulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths and headers of the engine. All stand-ins serve PathControl.
const (
	PathChat          = "/v1/chat/completions"
	PathLoad          = "/load"
	PathStreams       = "/v1/streams/"
	HeaderRequestID   = "X-Request-Id"
	HeaderPriority    = "X-Priority"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderIncarnation = "X-Incarnation"
	PathControl       = "/control"
)

// lowestTier is the tier of requests without a priority.
const lowestTier = 1 << 16

// EmulateOptions is the request body field that controls the generated response.
type EmulateOptions struct {
	// OutputTokens is the length of the response. Zero: drawn from
	// [EngineOptions.OutputLengths].
	OutputTokens int `json:"output_tokens,omitempty"`
	// Echo is copied into every event of the response, so that the caller can recognize
	// its own response even when a router chooses the request identifier.
	Echo string `json:"echo,omitempty"`
}

// ChatRequest is the part of a chat-completions request that the engine reads.
type ChatRequest struct {
	Model     string          `json:"model"`
	Messages  []ChatMessage   `json:"messages"`
	Stream    bool            `json:"stream,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Emulate   *EmulateOptions `json:"emulate,omitempty"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatResponse is a JSON response or one event of a stream.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
	// Token is the index of the token that a stream event carries.
	Token *int `json:"token,omitempty"`
	// Echo repeats the request's emulate.echo.
	Echo string `json:"echo,omitempty"`
	// Checksum covers the whole text. It is set in a JSON response and in the last event
	// of a stream.
	Checksum string `json:"checksum,omitempty"`
}

// ChatChoice holds the text: Message in a JSON response, Delta in a stream event.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the text that a stream event adds.
type ChatDelta struct {
	Content string `json:"content,omitempty"`
}

// ChatUsage is the token usage of a request.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathChat && ctx.IsPost():
		e.serveChat(ctx)
	case path == PathLoad && ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, e.Load())
	case strings.HasPrefix(path, PathStreams) && ctx.IsGet():
		e.serveResume(ctx, strings.TrimPrefix(path, PathStreams))
	case path == PathPlacement:
		e.servePlacement(ctx)
	case path == PathExecutions:
		writeJSON(ctx, fasthttp.StatusOK, e.Executions())
	case path == PathControl:
		e.server.serveControl(ctx, e)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found", path)
	}
}

func (e *Engine) serveChat(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	var r ChatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed_json", err.Error())
		return
	}
	s := newStream(r)
	s.id = string(ctx.Request.Header.Peek(HeaderRequestID))
	if tier, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderPriority))); err == nil && tier > 0 {
		s.job.tier = tier
	}
	marker := e.Faults().CrashMarker
	s.crashesEngine = marker != "" && bytes.Contains(body, []byte(marker))
	recv := e.newReceiver(ctx, s, e.submit(s), 0)
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderDeadline))); err == nil {
		timer := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { e.expire(s) })
		recv.onFinish = func() { timer.Stop() }
	}
	recv.respond(ctx, r.Stream)
}

// newStream returns a stream for a request. The caller sets its identifier.
func newStream(r ChatRequest) *stream {
	var prompt []byte
	for _, m := range r.Messages {
		prompt = append(prompt, m.Role+"\n"+m.Content+"\n"...)
	}
	s := &stream{model: r.Model}
	s.job.tier = lowestTier
	s.job.promptTokens, s.job.prefixBlocks = countTokens(prompt), prefixBlocks(prompt)
	if r.Emulate != nil {
		s.requestEcho, s.eventEcho = r.Emulate.Echo, r.Emulate.Echo
		s.job.outputTokens = max(0, r.Emulate.OutputTokens)
	}
	s.maxTokens = max(0, r.MaxTokens)
	return s
}

func (e *Engine) serveResume(ctx *fasthttp.RequestCtx, id string) {
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed_from", "from must be the index of the next token")
		return
	}
	s, attachment, ok := e.resume(id, from)
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "stream_unknown", id)
		return
	}
	e.newReceiver(ctx, s, attachment, from).respond(ctx, true)
}

// expire ends a stream whose request has not started to run by its deadline.
func (e *Engine) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.state != streamActive || s.job.running || s.job.generated > 0 {
		return
	}
	s.state = streamExpired
	e.batch.remove(&s.job)
	e.counters.Expired++
	e.recordLoad()
	s.notify()
}

// receiver delivers a stream to one connection.
type receiver struct {
	engine         *Engine
	stream         *stream
	attachment     attachment
	conn           *conn
	next           int    // index of the token to send next
	stopCloseWatch func() // stops watching for the caller closing the connection
	onFinish       func() // called when delivery has ended
}

// newReceiver returns a receiver that watches the connection, so that closing it cancels
// the generation even while the request waits in the queue.
func (e *Engine) newReceiver(ctx *fasthttp.RequestCtx, s *stream, a attachment, from int) *receiver {
	r := &receiver{engine: e, stream: s, attachment: a, conn: ctx.Conn().(*conn), next: from, onFinish: func() {}}
	r.stopCloseWatch = r.conn.watchClose(func() { e.cancel(s, a) })
	ctx.Response.Header.Set(HeaderRequestID, s.id)
	return r
}

// progress is the state of a stream as a receiver sees it.
type progress struct {
	generated int // tokens generated so far
	state     streamState
	replaced  bool // another receiver resumed the stream
}

// waitForProgress blocks until there is a token to send, the stream has ended or
// another receiver has replaced this one.
func (r *receiver) waitForProgress() progress {
	for {
		r.engine.mu.Lock()
		p := progress{generated: r.stream.job.generated, state: r.stream.state, replaced: r.stream.attachments != r.attachment.number}
		r.engine.mu.Unlock()
		if p.generated > r.next || p.state != streamActive || p.replaced {
			return p
		}
		<-r.attachment.wake
	}
}

// respond sends the JSON response or the stream. It sends no status before the first token
// is there, so that an expired deadline can still be reported as an error.
func (r *receiver) respond(ctx *fasthttp.RequestCtx, streaming bool) {
	p := r.waitForProgress()
	for !streaming && p.state == streamActive && !p.replaced {
		r.next = p.generated
		p = r.waitForProgress()
	}
	if p.state == streamExpired {
		r.finish()
		writeError(ctx, fasthttp.StatusGatewayTimeout, "deadline", "the request did not start to run before its deadline")
		return
	}
	if streaming {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(r.writeEvents)
		return
	}
	r.finish()
	if p.state != streamFinished {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "lost", "the generation was interrupted")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, r.stream.jsonResponse())
}

func (r *receiver) finish() {
	r.onFinish()
	r.stopCloseWatch()
}

// writeEvents writes the stream event by event. If the stream does not finish, it sends
// no final event and resets the connection.
func (r *receiver) writeEvents(w *bufio.Writer) {
	defer r.finish()
	for {
		p := r.waitForProgress()
		for ; r.next < p.generated; r.next++ {
			if writeEvent(w, r.stream.tokenEvent(r.next)) != nil {
				r.engine.cancel(r.stream, r.attachment)
				return
			}
		}
		if p.state == streamActive && !p.replaced {
			continue
		}
		if p.state == streamFinished {
			_ = writeEvent(w, r.stream.finalEvent())
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
			return
		}
		r.conn.reset()
		return
	}
}

func writeEvent(w *bufio.Writer, event ChatResponse) error {
	body, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

// tokenEvent returns the stream event that carries token i.
func (s *stream) tokenEvent(i int) ChatResponse {
	return ChatResponse{ID: s.id, Object: "chat.completion.chunk", Model: s.model, Token: &i, Echo: s.eventEcho,
		Choices: []ChatChoice{{Delta: &ChatDelta{Content: TokenText(s.id, i)}}}}
}

// finalEvent returns the last event of the stream, with usage and checksum.
func (s *stream) finalEvent() ChatResponse {
	stop := "stop"
	return ChatResponse{ID: s.id, Object: "chat.completion.chunk", Model: s.model, Echo: s.eventEcho, Usage: s.usage(),
		Checksum: Checksum(ResponseText(s.id, s.job.outputTokens)),
		Choices:  []ChatChoice{{Delta: &ChatDelta{}, FinishReason: &stop}}}
}

// jsonResponse returns the response to a request without streaming.
func (s *stream) jsonResponse() ChatResponse {
	stop, text := "stop", ResponseText(s.id, s.job.outputTokens)
	return ChatResponse{ID: s.id, Object: "chat.completion", Model: s.model, Echo: s.eventEcho, Usage: s.usage(),
		Checksum: Checksum(text),
		Choices:  []ChatChoice{{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: &stop}}}
}

func (s *stream) usage() *ChatUsage {
	return &ChatUsage{PromptTokens: s.job.promptTokens, CompletionTokens: s.job.outputTokens}
}
