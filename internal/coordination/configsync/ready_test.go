package configsync

import (
	"crypto/sha256"
	"math/rand/v2"
	"testing"
	"time"
)

// newMachineWithPeers returns a newly started machine that knows four peers, and the peers.
func newMachineWithPeers() (*Machine, []Peer) {
	var peers []Peer
	for i := range 4 {
		peers = append(peers, Peer{ID: [16]byte{byte(i + 1)}, Domain: "a"})
	}
	m := New(Options{Self: Peer{ID: [16]byte{9}, Domain: "a"}, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
	m.SetMembers(0, peers)
	m.Tick(0)
	return m, peers
}

// TestStartupWaitsForPeers guards against a newly started instance that becomes ready with
// the old revision of a stale platform replica while its peers hold a newer one: it must
// wait for all peers that it pulled from, and for the revision that they report.
func TestStartupWaitsForPeers(t *testing.T) {
	m, peers := newMachineWithPeers()
	m.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 1, Text: []byte("old")})
	if m.Ready() {
		t.Fatal("ready before any peer has answered")
	}
	text := []byte("new")
	head := Push{Revision: 5, Hash: sha256.Sum256(text)}
	for i, p := range peers {
		m.ReceivePush(time.Second, p.ID, head)
		if m.Ready() {
			t.Fatalf("ready with revision 1 after %d peers reported revision 5", i+1)
		}
	}
	full := head
	full.Sections = Split(text)
	full.Manifest = []SectionRef{{Hash: full.Sections[0].Hash}}
	m.ReceivePush(time.Second, peers[0].ID, full)
	if rev, _, _ := m.Current(); rev != 5 || !m.Ready() {
		t.Errorf("revision %d, ready %v", rev, m.Ready())
	}
}

// TestStartupDoesNotWaitForever guards against a newly started instance that never becomes
// ready because its peers have stopped, or that becomes ready without any answer.
func TestStartupDoesNotWaitForever(t *testing.T) {
	m, _ := newMachineWithPeers()
	for now := time.Duration(0); now < 2*StartupTimeout; now += simTickInterval {
		m.Tick(now)
	}
	if m.Ready() {
		t.Fatal("ready without any answer")
	}
	m.ReceivePlatformResult(2*StartupTimeout, 0, Result{Status: Changed, Revision: 1, Text: []byte("x")})
	if !m.Ready() {
		t.Error("not ready although the platform has responded and the startup timeout has passed")
	}
	m, _ = newMachineWithPeers()
	m.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 1, Text: []byte("x")})
	if m.Tick(StartupTimeout - 1); m.Ready() {
		t.Error("ready before the startup timeout although no peer has answered")
	}
}

// TestInvalidPushIsRemembered guards against an invalid revision that is validated or
// fetched again when another peer sends or reports it.
func TestInvalidPushIsRemembered(t *testing.T) {
	m, peers := newMachineWithPeers()
	text := []byte("invalid")
	p := Push{Revision: 3, Hash: sha256.Sum256(text), Sections: Split(text)}
	p.Manifest = []SectionRef{{Hash: p.Sections[0].Hash}}
	for i, peer := range peers {
		for _, a := range m.ReceivePush(0, peer.ID, p) {
			if _, ok := a.(Rejected); ok != (i == 0) {
				t.Errorf("push %d resulted in %T", i, a)
			}
		}
	}
	for _, a := range m.ObserveRevision(0, peers[0].ID, 3) {
		t.Errorf("an invalid revision reported by a peer resulted in %T", a)
	}
	m.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 3, Text: text})
	if s := m.Status(); s.Stats.Invalid != 1 || s.Invalid != 3 {
		t.Errorf("status %+v", s)
	}
}
