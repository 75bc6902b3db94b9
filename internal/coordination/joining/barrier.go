package joining

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// Timeout is how long after its start an instance waits for the answer of a peer.
	Timeout = time.Second
	// UnsettledWait is how long an instance waits for a settled peer after the first answer of one that
	// is joining, too. Records of members reach it within two intervals of gossip, 100 ms each.
	UnsettledWait = 200 * time.Millisecond
)

// Reason is why an instance has finished joining.
type Reason string

// Reasons.
const (
	Joining      Reason = ""               // it has not
	Alone        Reason = "no_seeds"       // there is no peer to ask
	PeerSettled  Reason = "settled_peer"   // a peer that knows what was broadcast before has answered
	SeedsJoining Reason = "seeds_joining"  // all seeds have answered that they are joining
	PeersJoining Reason = "peers_joining"  // only peers that are joining were found
	NoAnswer     Reason = "no_peer_answer" // the time limit was reached
)

// Barrier holds back the requests of an instance that is joining. It is safe for concurrent use.
type Barrier struct {
	mu          sync.Mutex
	seedsLeft   map[netip.AddrPort]bool // seeds that have not answered
	firstAnswer time.Duration           // negative before it
	reason      Reason
	done        chan struct{}
}

// New returns the barrier of an instance that starts at time zero and knows the gossip addresses of some
// peers.
func New(seeds []netip.AddrPort) *Barrier {
	b := &Barrier{seedsLeft: map[netip.AddrPort]bool{}, firstAnswer: -1, done: make(chan struct{})}
	for _, seed := range seeds {
		b.seedsLeft[seed] = true
	}
	if len(seeds) == 0 {
		b.finish(Alone)
	}
	return b
}

// Done returns a channel that is closed when the instance has finished joining.
func (b *Barrier) Done() <-chan struct{} { return b.done }

// Settled reports whether the instance has finished joining.
func (b *Barrier) Settled() bool { return b.Reason() != Joining }

// Reason returns why the instance has finished joining; Joining if it has not.
func (b *Barrier) Reason() Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reason
}

// Answered records the answer of a peer with a gossip address, which is settled or joining, too.
func (b *Barrier) Answered(now time.Duration, peer netip.AddrPort, settled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.firstAnswer < 0 {
		b.firstAnswer = now
	}
	delete(b.seedsLeft, peer)
	switch {
	case settled:
		b.finish(PeerSettled)
	case len(b.seedsLeft) == 0:
		b.finish(SeedsJoining)
	}
}

// Tick ends the wait when its time is over.
func (b *Barrier) Tick(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.firstAnswer >= 0 && now-b.firstAnswer >= UnsettledWait:
		b.finish(PeersJoining)
	case now >= Timeout:
		b.finish(NoAnswer)
	}
}

// finish ends the wait; only the first call has an effect. The caller must hold mu, unless the barrier is not
// shared yet.
func (b *Barrier) finish(reason Reason) {
	if b.reason == Joining {
		b.reason = reason
		close(b.done)
	}
}
