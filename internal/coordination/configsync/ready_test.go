package configsync

import (
	"crypto/sha256"
	"math/rand/v2"
	"testing"
	"time"
)

// fresh returns a machine that knows four peers, and their identifiers.
func fresh() (*Machine, []Peer) {
	var peers []Peer
	for i := range 4 {
		peers = append(peers, Peer{ID: [16]byte{byte(i + 1)}, Domain: "a"})
	}
	m := New(Options{Self: Peer{ID: [16]byte{9}, Domain: "a"}, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
	m.SetMembers(0, peers)
	m.Tick(0)
	return m, peers
}

// Guards against a fresh instance that serves the old revision of a stale platform
// replica while its peers hold a newer one: it waits for all peers that it asked,
// and for the revision that they name.
func TestFreshWaitsForPeers(t *testing.T) {
	m, peers := fresh()
	m.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 1, Text: []byte("old")})
	if m.Ready() {
		t.Fatal("ready before any peer has answered")
	}
	text := []byte("new")
	head := Push{Revision: 5, Sum: sha256.Sum256(text)}
	for i, p := range peers {
		m.ReceivePush(time.Second, p.ID, head)
		if m.Ready() {
			t.Fatalf("ready with revision 1 after %d peers named 5", i+1)
		}
	}
	full := head
	full.Sections = Split(text)
	full.Manifest = []SectionRef{{Sum: full.Sections[0].Sum}}
	m.ReceivePush(time.Second, peers[0].ID, full)
	if rev, _, _ := m.Current(); rev != 5 || !m.Ready() {
		t.Errorf("revision %d, ready %v", rev, m.Ready())
	}
}

// Guards against a fresh instance that waits for ever for peers that are gone, or
// serves although nobody has answered.
func TestFreshDoesNotWaitForEver(t *testing.T) {
	m, _ := fresh()
	for now := time.Duration(0); now < 2*StartTime; now += simTick {
		m.Tick(now)
	}
	if m.Ready() {
		t.Fatal("ready without any answer")
	}
	m.PlatformAnswer(2*StartTime, 0, Result{Status: Changed, Revision: 1, Text: []byte("x")})
	if !m.Ready() {
		t.Error("not ready although the platform has answered and the start time has passed")
	}
	m, _ = fresh()
	m.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 1, Text: []byte("x")})
	if m.Tick(StartTime - 1); m.Ready() {
		t.Error("ready before the start time although no peer has answered")
	}
}

// Guards against an invalid revision that is validated or fetched again when a peer
// offers it once more.
func TestInvalidPushIsRemembered(t *testing.T) {
	m, peers := fresh()
	text := []byte("invalid")
	p := Push{Revision: 3, Sum: sha256.Sum256(text), Sections: Split(text)}
	p.Manifest = []SectionRef{{Sum: p.Sections[0].Sum}}
	for i, peer := range peers {
		for _, a := range m.ReceivePush(0, peer.ID, p) {
			if _, ok := a.(Rejected); ok != (i == 0) {
				t.Errorf("offer %d gave %T", i, a)
			}
		}
	}
	for _, a := range m.Observe(0, peers[0].ID, 3) {
		t.Errorf("an invalid revision that a peer holds led to %T", a)
	}
	m.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 3, Text: text})
	if s := m.Status(); s.Stats.Invalid != 1 || s.Invalid != 3 {
		t.Errorf("status %+v", s)
	}
}
