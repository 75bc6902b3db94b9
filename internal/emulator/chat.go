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

// Paths and headers of the engine; PathControl holds for all stand-ins.
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

// lowestTier is taken for requests without a priority.
const lowestTier = 1 << 16

// Emulate is the body field that steers the stand-in.
type Emulate struct {
	// OutputTokens sets the length of the answer.
	OutputTokens int `json:"output_tokens,omitempty"`
	// Echo is copied into every event of the answer, so that the caller can tell its
	// own answer from another's even when a router chooses the request identifier.
	Echo string `json:"echo,omitempty"`
}

// ChatRequest is the part of a chat-completions request that the engine reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Emulate   *Emulate      `json:"emulate,omitempty"`
}

// ChatMessage is one message.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatAnswer is a JSON answer or one event of a stream.
type ChatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
	// Token is the index of the token in an event of a stream.
	Token *int `json:"token,omitempty"`
	// Echo repeats the request's emulate.echo.
	Echo string `json:"echo,omitempty"`
	// Checksum covers the whole text; it is in the JSON answer and in the last event.
	Checksum string `json:"checksum,omitempty"`
}

// ChatChoice holds the text: Message in a JSON answer, Delta in an event.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the new text of an event.
type ChatDelta struct {
	Content string `json:"content,omitempty"`
}

// ChatUsage counts tokens.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathChat && ctx.IsPost():
		e.chat(ctx)
	case path == PathLoad && ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, e.Load())
	case strings.HasPrefix(path, PathStreams) && ctx.IsGet():
		e.resumeStream(ctx, strings.TrimPrefix(path, PathStreams))
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

func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
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
	marker := e.Switches().CrashMarker
	s.poison = marker != "" && bytes.Contains(body, []byte(marker))
	to := e.receive(ctx, s, e.submit(s), 0)
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderDeadline))); err == nil {
		timer := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { e.expire(s) })
		to.done = func() { timer.Stop() }
	}
	to.answer(ctx, r.Stream)
}

// newStream derives the generation from a request.
func newStream(r ChatRequest) *stream {
	var prompt []byte
	for _, m := range r.Messages {
		prompt = append(prompt, m.Role+"\n"+m.Content+"\n"...)
	}
	s := &stream{model: r.Model}
	s.job.tier = lowestTier
	s.job.prompt, s.job.blocks = countTokens(prompt), prefixBlocks(prompt)
	if r.Emulate != nil {
		s.tag, s.echo = r.Emulate.Echo, r.Emulate.Echo
		s.job.output = max(0, r.Emulate.OutputTokens)
	}
	s.limit = max(0, r.MaxTokens)
	return s
}

func (e *Engine) resumeStream(ctx *fasthttp.RequestCtx, id string) {
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed_from", "from is the index of the next token")
		return
	}
	s, attachment, ok := e.resume(id, from)
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "stream_unknown", id)
		return
	}
	e.receive(ctx, s, attachment, from).answer(ctx, true)
}

// expire drops a request that has not started to run by its deadline.
func (e *Engine) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended != active || s.job.running || s.job.generated > 0 {
		return
	}
	s.ended = expired
	e.batch.remove(&s.job)
	e.counters.Expired++
	e.recordLoad()
	s.signal()
}

// receiver delivers a stream to one connection.
type receiver struct {
	engine     *Engine
	stream     *stream
	attachment attachment
	conn       *conn
	next       int    // index of the token to send next
	stopWatch  func() // ends the watch for the caller's close
	done       func()
}

// receive watches the connection, so that a close cancels the generation while it
// waits in the queue as well.
func (e *Engine) receive(ctx *fasthttp.RequestCtx, s *stream, a attachment, from int) *receiver {
	r := &receiver{engine: e, stream: s, attachment: a, conn: ctx.Conn().(*conn), next: from, done: func() {}}
	r.stopWatch = r.conn.watch(func() { e.cancel(s, a) })
	ctx.Response.Header.Set(HeaderRequestID, s.id)
	return r
}

// progress is what a receiver can send now.
type progress struct {
	available int
	ended     ending
	replaced  bool
}

// wait blocks until there is something to send.
func (r *receiver) wait() progress {
	for {
		r.engine.mu.Lock()
		p := progress{available: r.stream.job.generated, ended: r.stream.ended, replaced: r.stream.attached != r.attachment.number}
		r.engine.mu.Unlock()
		if p.available > r.next || p.ended != active || p.replaced {
			return p
		}
		<-r.attachment.wake
	}
}

// answer sends the JSON answer or the stream. The deadline decides before the
// answer's status is sent.
func (r *receiver) answer(ctx *fasthttp.RequestCtx, streaming bool) {
	p := r.wait()
	for !streaming && p.ended == active && !p.replaced {
		r.next = p.available
		p = r.wait()
	}
	if p.ended == expired {
		r.finish()
		writeError(ctx, fasthttp.StatusGatewayTimeout, "deadline", "the request did not start to run before its deadline")
		return
	}
	if streaming {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(r.events)
		return
	}
	r.finish()
	if p.ended != finished {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "lost", "the generation was ended")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, r.stream.whole())
}

func (r *receiver) finish() {
	r.done()
	r.stopWatch()
}

// events writes the stream event by event. A stream that does not finish ends
// without the final event, and its connection is reset.
func (r *receiver) events(w *bufio.Writer) {
	defer r.finish()
	for {
		p := r.wait()
		for ; r.next < p.available; r.next++ {
			if writeEvent(w, r.stream.event(r.next)) != nil {
				r.engine.cancel(r.stream, r.attachment)
				return
			}
		}
		if p.ended == active && !p.replaced {
			continue
		}
		if p.ended == finished {
			_ = writeEvent(w, r.stream.last())
			_, _ = w.WriteString("data: [DONE]\n\n")
			_ = w.Flush()
			return
		}
		r.conn.reset()
		return
	}
}

func writeEvent(w *bufio.Writer, a ChatAnswer) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

// event returns the event of token i.
func (s *stream) event(i int) ChatAnswer {
	return ChatAnswer{ID: s.id, Object: "chat.completion.chunk", Model: s.model, Token: &i, Echo: s.echo,
		Choices: []ChatChoice{{Delta: &ChatDelta{Content: TokenText(s.id, i)}}}}
}

// last returns the event that ends the stream.
func (s *stream) last() ChatAnswer {
	stop := "stop"
	return ChatAnswer{ID: s.id, Object: "chat.completion.chunk", Model: s.model, Echo: s.echo, Usage: s.usage(),
		Checksum: Checksum(AnswerText(s.id, s.job.output)),
		Choices:  []ChatChoice{{Delta: &ChatDelta{}, FinishReason: &stop}}}
}

// whole returns the JSON answer.
func (s *stream) whole() ChatAnswer {
	stop, text := "stop", AnswerText(s.id, s.job.output)
	return ChatAnswer{ID: s.id, Object: "chat.completion", Model: s.model, Echo: s.echo, Usage: s.usage(),
		Checksum: Checksum(text),
		Choices:  []ChatChoice{{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: &stop}}}
}

func (s *stream) usage() *ChatUsage {
	return &ChatUsage{PromptTokens: s.job.prompt, CompletionTokens: s.job.output}
}
