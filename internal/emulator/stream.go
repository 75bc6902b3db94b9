package emulator

import "container/list"

// stream is the state of one answer. It outlives its connection so that it can be
// resumed; the text is computed from the identifier, so only counts are kept.
type stream struct {
	job    job
	id     string // identifier that text and events carry
	tag    string // the request's emulate.echo
	echo   string // what the events carry; differs from tag in a foreign answer
	model  string
	limit  int  // the request's max_tokens; zero: none
	poison bool // the request crashes the engine when it starts to run
	ended  ending
	// attached counts attachments; a detached connection must not cancel the
	// stream that a resume has taken over.
	attached uint64
	wake     chan struct{} // capacity 1; signalled on progress
	recent   *list.Element // place in the list of recent streams
}

// ending says how a generation ended.
type ending int

const (
	active ending = iota
	finished
	cancelled
	lost    // by a crash
	expired // before it started to run, by its deadline
)

// attachment is a receiver's claim to a stream.
type attachment struct {
	number uint64
	wake   <-chan struct{}
}

// attach makes the caller the receiver of the stream.
func (s *stream) attach() attachment {
	s.attached++
	s.wake = make(chan struct{}, 1)
	return attachment{number: s.attached, wake: s.wake}
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// recentStreams keeps a bounded number of streams for resume, newest first.
type recentStreams struct {
	limit int
	order *list.List
	byID  map[string]*stream
}

func newRecentStreams(limit int) *recentStreams {
	return &recentStreams{limit: limit, order: list.New(), byID: map[string]*stream{}}
}

// add keeps s and forgets the oldest stream above the limit. A stream with the same
// identifier is replaced.
func (r *recentStreams) add(s *stream) {
	if old := r.byID[s.id]; old != nil {
		r.order.Remove(old.recent)
	}
	r.byID[s.id] = s
	s.recent = r.order.PushFront(s)
	if r.order.Len() > r.limit {
		last := r.order.Remove(r.order.Back()).(*stream)
		delete(r.byID, last.id)
	}
}
