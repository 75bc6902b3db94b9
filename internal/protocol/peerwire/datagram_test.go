package peerwire

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

func testKeys(t testing.TB) *KeyList {
	t.Helper()
	l, err := NewKeyList([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func testMember(i byte) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("lanester-%d", i), Domain: "lanester", FailureDomain: "keroman",
		Incarnation: membership.Incarnation{Process: membership.Process{i, 1}, Number: 1 << 31},
		UDP:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000),
		TCP:         netip.MustParseAddrPort("[2001:db8::2]:65535"),
		State:       membership.Alive, Revision: 1 << 63,
		Pressure: []byte{1, 2, 3}, PressureAge: 1500 * time.Millisecond,
	}
}

func testDatagram() membership.Message {
	m := testMember(1)
	return membership.Message{
		Kind: membership.PingReq, Seq: 1 << 60, From: m, Digest: 1 << 63, Target: membership.Process{2},
		TargetAddress: m.UDP, Domain: "keroman", After: membership.Process{3}, More: true,
		Updates: []membership.Member{testMember(4), testMember(5)},
	}
}

// Guards against fields that are lost in encoding.
func TestDatagramRoundTrip(t *testing.T) {
	want := testDatagram()
	sender, receiver := NewDatagramCodec(testKeys(t), want.From.Incarnation.Process), NewDatagramCodec(testKeys(t), membership.Process{9})
	b, err := sender.Seal(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := receiver.Open(b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
	if s := receiver.Stats(); s.Opened != 1 || sender.Stats().Sealed != 1 {
		t.Errorf("counters %+v", s)
	}
}

// Guards against handling datagrams that are not authentic, damaged or replayed: each must be
// counted under its cause and change nothing else.
func TestDamagedDatagramsAreCounted(t *testing.T) {
	keys := testKeys(t)
	m := testDatagram()
	sender, receiver := NewDatagramCodec(keys, m.From.Incarnation.Process), NewDatagramCodec(keys, membership.Process{9})
	valid, err := sender.Seal(m)
	if err != nil {
		t.Fatal(err)
	}
	for i := range valid {
		bad := bytes.Clone(valid)
		bad[i] ^= 1
		if _, err := receiver.Open(bad); err == nil {
			t.Fatalf("a change of byte %d was accepted", i)
		}
	}
	if s := receiver.Stats(); s.Unauthenticated != uint64(len(valid)-1) || s.Malformed != 1 || receiver.windows.lru.Len() != 0 {
		t.Errorf("after changes: %+v, %d windows", s, receiver.windows.lru.Len())
	}
	for n := range len(valid) {
		if _, err := receiver.Open(valid[:n]); err == nil {
			t.Fatalf("a datagram truncated to %d bytes was accepted", n)
		}
	}
	if _, err := receiver.Open(append(bytes.Clone(valid), make([]byte, MaxDatagramBytes)...)); err != ErrTooLarge {
		t.Errorf("oversized: %v", err)
	}
	other, err := NewDatagramCodec(keys, membership.Process{7}).Seal(m) // claims another sender
	if err != nil {
		t.Fatal(err)
	}
	if _, err := receiver.Open(other); err != ErrMalformed {
		t.Errorf("wrong sender: %v", err)
	}
	if _, err := receiver.Open(valid); err != nil {
		t.Fatal(err)
	}
	if _, err := receiver.Open(valid); err != ErrReplayed {
		t.Errorf("replayed: %v", err)
	}
	if s := receiver.Stats(); s.Opened != 1 || s.Replayed != 1 || s.Oversized != 1 || s.Truncated != datagramHeaderSize+macSize {
		t.Errorf("counters %+v", s)
	}
}

// Guards against replay windows that accept a number twice, depend on the order of arrival,
// or refuse a new number within the window.
func TestWindowMatchesSet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		w, seen, highest := replayWindow{}, map[uint64]bool{}, uint64(0)
		for range 600 {
			seq := rng.Uint64N(1500)
			if rng.IntN(3) == 0 {
				seq = highest + rng.Uint64N(4)
			}
			want := seq > 0 && !seen[seq] && (seq > highest || highest-seq < windowBits)
			if got := w.accept(seq); got != want {
				t.Fatalf("number %d with highest %d: %v, want %v", seq, highest, got, want)
			}
			if want {
				seen[seq], highest = true, max(highest, seq)
			}
		}
	}
}

// Guards against an unbounded number of replay windows.
func TestWindowsAreBounded(t *testing.T) {
	w := newReplayWindows(8)
	for i := range 100 {
		w.accept(membership.Process{byte(i)}, 1)
	}
	if len(w.entries) != 8 || w.lru.Len() != 8 || !w.accept(membership.Process{99}, 2) || w.accept(membership.Process{99}, 2) {
		t.Errorf("%d windows, %d in the LRU list", len(w.entries), w.lru.Len())
	}
}

// Guards against a size estimate of the membership state machine below the encoded size: such
// a message would be lost at every attempt.
func TestMachineMessagesFit(t *testing.T) {
	largeMember := func(i int) membership.Member {
		m := testMember(byte(i))
		m.Name = strings.Repeat("n", membership.MaxNameBytes-3) + fmt.Sprintf("%03d", i)
		m.Domain = strings.Repeat("d", membership.MaxNameBytes)
		m.Incarnation.Process = membership.Process{byte(i), byte(i >> 8), 7}
		m.UDP = netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("2001:db8::%x", i+1)), 65535)
		m.Pressure = make([]byte, membership.MaxPressureBytes)
		m.PressureAge = time.Duration(i) * time.Millisecond
		return m
	}
	machine := membership.New(membership.Options{Self: largeMember(0), Seeds: []netip.AddrPort{largeMember(1).UDP}}, rand.New(rand.NewPCG(1, 1)))
	machine.SetMetadata(0, 1<<63, make([]byte, membership.MaxPressureBytes))
	codec := NewDatagramCodec(testKeys(t), largeMember(0).Incarnation.Process)
	largest := 0
	check := func(actions []membership.Action) {
		for _, a := range actions {
			if s, ok := a.(membership.Send); ok {
				b, err := codec.Seal(s.Message)
				if err != nil {
					t.Fatalf("%v with %d updates: %v", s.Message.Kind, len(s.Message.Updates), err)
				}
				largest = max(largest, len(b))
			}
		}
	}
	check(machine.Tick(0))
	now := time.Duration(0)
	for i := 1; i < 60; i++ {
		now += 50 * time.Millisecond
		for _, kind := range []membership.Kind{membership.Ping, membership.PingReq, membership.SyncRequest, membership.Ack} {
			msg := membership.Message{Kind: kind, Seq: 1 << 63, From: largeMember(i), Domain: largeMember(0).Domain, Target: largeMember(i).Incarnation.Process, TargetAddress: largeMember(2).UDP}
			check(machine.Receive(now, largeMember(i).UDP, msg))
		}
		check(machine.Tick(now))
	}
	if t.Logf("largest datagram %d bytes", largest); largest < 900 {
		t.Errorf("largest datagram has only %d bytes", largest)
	}
}

// FuzzDatagram guards against inputs that make the decoder panic or that change when they are
// encoded again. The test signs the body, because otherwise no input would pass the MAC
// check. The unsigned input must be refused.
func FuzzDatagram(f *testing.F) {
	keys := testKeys(f)
	d := NewDatagramCodec(keys, testMember(1).Incarnation.Process)
	for _, m := range []membership.Message{testDatagram(), {Kind: membership.Ping, From: testMember(1)}} {
		b, err := d.Seal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b[:len(b)-macSize])
		f.Add(b[:len(b)-macSize-20])
	}
	f.Add(append(make([]byte, datagramHeaderSize), 1, 1, 1, 0xc4, 0xff))
	f.Fuzz(func(t *testing.T, body []byte) {
		e := NewDatagramCodec(keys, membership.Process{9})
		if _, err := e.Open(body); err == nil {
			t.Fatal("an input without MAC was accepted")
		}
		if len(body) == 0 {
			return
		}
		body = bytes.Clone(body) // the fuzzing engine requires an unmodified input
		body[0] = Version
		m, err := e.Open(append(bytes.Clone(body), keys.Sign(body)...))
		if err != nil {
			if s := e.Stats(); s.Opened != 0 {
				t.Fatalf("refused and counted as opened: %+v", s)
			}
			return
		}
		reencoded, err := NewDatagramCodec(keys, m.From.Incarnation.Process).Seal(m)
		if err == ErrTooLarge {
			return // the input used shorter encodings than the encoder does
		}
		if err != nil {
			t.Fatal(err)
		}
		second, err := e.Open(reencoded)
		if err != ErrReplayed && (err != nil || !reflect.DeepEqual(m, second)) {
			t.Fatalf("%+v became %+v, %v", m, second, err)
		}
	})
}

// BenchmarkDatagram measures encoding, decoding and the MAC of a datagram with two member
// updates at both ends.
func BenchmarkDatagram(b *testing.B) {
	m := testDatagram()
	sender, receiver := NewDatagramCodec(testKeys(b), m.From.Incarnation.Process), NewDatagramCodec(testKeys(b), membership.Process{9})
	for b.Loop() {
		packet, err := sender.Seal(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := receiver.Open(packet); err != nil {
			b.Fatal(err)
		}
	}
}
