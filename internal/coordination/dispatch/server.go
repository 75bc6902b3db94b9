package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// cacheShare is the part of an upstream's memory that is taken to hold cached
	// prompts; the rest holds requests that run.
	cacheShare = 0.6
	// cacheEntries bounds the parts remembered for an upstream.
	cacheEntries = 4096
	// cacheLifetime forgets parts that nobody has asked for; the upstream has most
	// likely evicted them.
	cacheLifetime = 2 * time.Minute
	// attentionMS is the time for a million pairs of tokens, on top of the linear
	// reading rate. Typical of a 70-billion-parameter model on two accelerators.
	attentionMS = 0.7
	// memoryHalfLife is the time after which a slow or failing upstream is half forgiven.
	memoryHalfLife = 4 * time.Second
	// slownessWeight is the weight of a new comparison of answer and prediction.
	slownessWeight = 0.2
	// maxSlowness bounds how much slower than predicted an upstream is taken to be.
	maxSlowness = 12
	// failureWeight is the weight of one more outcome in the failure share.
	failureWeight = 0.15
	// firstBackoff and maxBackoff bound the time until an upstream that could not be
	// reached is tried again.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// stepTime is the time from a prompt that has been read to the first output.
	stepTime = 20 * time.Millisecond
)

// server is the learned state of one upstream.
type server struct {
	Server
	position uint64          // hash of the name; order for the border between long prompts and streams
	tag      Tag             // the position's low half
	forLong  bool            // on the side of the border for long prompts
	quiet    bool            // for streams with short pauses alone
	emptied  time.Duration   // when it changes over to long prompts at the latest
	own      Load            // requests of this instance
	told     Load            // own in the last report to the peers
	peers    map[string]Load // by peer
	others   Load            // sum of peers
	// free is, by level of priority, the predicted time at which all prompts of that level
	// and of more urgent ones are read.
	free [levels]time.Duration
	// shift is the sum of all corrections of free.
	shift    [levels]time.Duration
	slowness fading  // answer time over prediction, less 1
	failures fading  // share of failed requests
	latency  float64 // mean answer time in seconds; plain services
	cache    *expiring.Map[uint64, struct{}]

	unreachable int           // failures to reach it in a row
	retryAt     time.Duration // of the next dial
	silentAt    time.Duration // of the last silence; 0: it has answered since
	probing     bool
}

func newServer(s Server) *server {
	x := &server{Server: s, position: xxhash.Sum64String(s.ID)}
	x.tag = Tag(x.position)
	if s.Memory > 0 {
		x.cache = expiring.New(expiring.Options[uint64, struct{}]{
			TTL: cacheLifetime, MaxEntries: cacheEntries, MaxCost: int64(cacheShare * float64(s.Memory)),
		})
	}
	return x
}

// fading is a mean that goes back to zero while nothing is observed.
type fading struct {
	value float64
	at    time.Duration
}

func (f *fading) get(now time.Duration) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp2(-float64(max(0, now-f.at))/float64(memoryHalfLife))
}

func (f *fading) add(now time.Duration, x, weight float64) {
	v := f.get(now)
	f.value, f.at = v+(x-v)*weight, now
}

// cached returns how many tokens of the prompt's beginning the upstream is thought to
// keep. A part counts only if all parts before it do; a session that is kept stands for
// those before it, since they are used more often.
func (s *server) cached(now time.Duration, prefix []Part) int {
	if s.cache == nil {
		return 0
	}
	n, kept := 0, 0
	for i, p := range prefix {
		n += p.Tokens
		if _, ok := s.cache.Peek(now, p.ID); ok {
			kept = n
		} else if i >= len(prefix)-2 {
			break
		}
	}
	return kept
}

// keep notes that the upstream has read the shared parts of a prompt.
func (s *server) keep(now time.Duration, shared []Part) {
	if s.cache == nil {
		return
	}
	for _, p := range shared {
		s.cache.Put(now, p.ID, struct{}{}, int64(p.Tokens))
	}
}

// keepSession notes that the upstream has read a session's shared parts for a peer.
func (s *server) keepSession(now time.Duration, session Part) {
	if s.cache != nil && session.ID != 0 {
		s.cache.Put(now, session.ID, struct{}{}, int64(max(session.Tokens, 0)))
	}
}

// reading is the time to read the rest of a prompt of which cached tokens are kept.
func reading(tokensPerMS float64, prompt, cached int) time.Duration {
	fresh := float64(max(prompt-cached, 1))
	return time.Duration((fresh/tokensPerMS + attention(prompt, cached)) * float64(time.Millisecond))
}

// attention is the part of the reading time, in milliseconds, that grows with the tokens
// before each token.
func attention(prompt, cached int) float64 {
	fresh := float64(max(prompt-cached, 1))
	return fresh * (float64(cached) + fresh/2) / 1e6 * attentionMS
}

// slow is the factor by which the upstream is slower than most.
func (s *server) slow(now time.Duration, usual usual) float64 {
	return max(1, (1+s.slowness.get(now))/(1+usual.slowness))
}

// levels is the number of priorities that are told apart in predictions; the least urgent
// ones share the last.
const levels = 10

func level(priority int) int { return min(max(priority, 0), levels-1) }

// wait is the predicted time until the upstream begins with a prompt of the priority. More
// urgent prompts are read first.
func (s *server) wait(now time.Duration, priority int) time.Duration {
	return max(0, s.free[level(priority)]-now)
}

// add notes that a prompt of the priority is to be read.
func (s *server) add(now time.Duration, priority int, work time.Duration) {
	for i := level(priority); i < levels; i++ {
		s.free[i] = max(s.free[i], now) + work
	}
}

// correct moves the predicted times of the priority and of less urgent ones.
func (s *server) correct(now time.Duration, priority int, by time.Duration) {
	for i := level(priority); i < levels; i++ {
		s.free[i] = max(s.free[i]+by, now)
		s.shift[i] += by
	}
}

// load is the number of requests of all instances at the upstream.
func (s *server) load() int { return s.own.InFlight + s.others.InFlight }

// streams is the number of streams with short pauses of all instances at the upstream.
func (s *server) streams() int { return s.own.Streams + s.others.Streams }

// setPeer records what a peer has in flight.
func (s *server) setPeer(peer string, l Load) {
	old := s.peers[peer]
	s.others.InFlight += l.InFlight - old.InFlight
	s.others.Streams += l.Streams - old.Streams
	if l.InFlight == 0 && l.Streams == 0 {
		delete(s.peers, peer)
		return
	}
	if s.peers == nil {
		s.peers = map[string]Load{}
	}
	s.peers[peer] = l
}

// aside reports whether the upstream could not be reached lately.
func (s *server) aside() bool { return s.unreachable > 0 }

func (s *server) probeDue(now time.Duration) bool { return !s.probing && now >= s.retryAt }

func (s *server) failedToReach(now time.Duration) {
	backoff := firstBackoff << min(s.unreachable, 8)
	s.unreachable++
	s.retryAt = now + min(backoff, maxBackoff)
}

func (s *server) reached() { s.unreachable, s.retryAt = 0, 0 }
