package emulator

import "container/list"

// stream is the state of the response to one request. It is kept after its connection has
// closed so that it can be resumed. It holds no text, which is computed from the
// identifier.
type stream struct {
	job           job
	id            string // identifier in the events, from which the text is computed
	requestEcho   string // the request's emulate.echo
	eventEcho     string // echo in the events; differs from requestEcho with EngineFaults.WrongIDEvery
	model         string
	maxTokens     int  // the request's max_tokens; zero: no limit
	crashesEngine bool // the request crashes the engine when it starts to run
	state         streamState
	// attachments counts the receivers so far. The latest one owns the stream: an
	// earlier one must not cancel it when its connection closes.
	attachments   uint64
	wake          chan struct{} // capacity 1; wakes the latest receiver
	recentElement *list.Element // element in recentStreams.order
}

// streamState says whether and how a stream has ended.
type streamState int

const (
	streamActive streamState = iota
	streamFinished
	streamCancelled
	streamLost    // interrupted by a crash
	streamExpired // its deadline passed before it started to run
)

// attachment connects a receiver to a stream until another receiver attaches.
type attachment struct {
	number uint64
	wake   <-chan struct{}
}

// attach makes the caller the receiver of the stream in place of the former one.
func (s *stream) attach() attachment {
	s.attachments++
	s.wake = make(chan struct{}, 1)
	return attachment{number: s.attachments, wake: s.wake}
}

// notify wakes the latest receiver.
func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// recentStreams keeps the most recent streams for resume, the newest first.
type recentStreams struct {
	limit int
	order *list.List
	byID  map[string]*stream
}

func newRecentStreams(limit int) *recentStreams {
	return &recentStreams{limit: limit, order: list.New(), byID: map[string]*stream{}}
}

// add adds s in place of a stream with the same identifier and removes the oldest stream
// if the limit is exceeded.
func (r *recentStreams) add(s *stream) {
	if old := r.byID[s.id]; old != nil {
		r.order.Remove(old.recentElement)
	}
	r.byID[s.id] = s
	s.recentElement = r.order.PushFront(s)
	if r.order.Len() > r.limit {
		last := r.order.Remove(r.order.Back()).(*stream)
		delete(r.byID, last.id)
	}
}
