package peerwire

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/netip"
	"reflect"
	"runtime"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

var testIdentity = Identity{Name: "lanester-1", Domain: "lanester", Process: membership.Process{1, 2}, TCP: netip.MustParseAddrPort("[2001:db8::1]:7001")}

// testMessages holds one message of each type.
var testMessages = []Message{
	Hello{Identity: testIdentity, Nonce: []byte("nonce"), MAC: []byte("mac")},
	ConfigPull{configsync.Pull{Revision: 1 << 40, Hash: configsync.Hash{9}, Have: []configsync.Hash{{1}, {2}}}},
	ConfigPush{configsync.Push{
		Revision: 7, Hash: configsync.Hash{3},
		Manifest: []configsync.SectionRef{{Name: "meta", Hash: configsync.Hash{4}, Size: 5}},
		Sections: []configsync.Section{{Name: "meta", Hash: configsync.Hash{4}, Data: []byte("hello")}},
	}},
	Suspicions{[]byte("a")}, LeavingUpstreams{[]byte("b")}, OrderForward{[]byte("c")}, OrderAnswer{[]byte("d")},
	Intent{[]byte("e")}, IntentAck{[]byte("f")}, Outcome{[]byte("g")}, Query{[]byte("h")},
	LedgerHandover{bytes.Repeat([]byte("i"), 200_000)}, KeepAlive{}, Done{}, Failure{Reason: "no"},
	ReplicaPull{[]byte("j")}, ReplicaPush{[]byte("k")}, DispatchReport{[]byte("l")}, StreamOrigins{[]byte("m")},
	StreamOriginQuery{[]byte("n")}, StreamOriginAnswer{[]byte("o")},
	RelayOpen{Upstream: "i-1"}, RelayData{[]byte("p")}, RelayEnd{},
}

func testMACs() (*FrameMAC, *FrameMAC) {
	h := Handshake{Client: testIdentity, ClientNonce: []byte("c"), ServerNonce: []byte("s")}
	return NewFrameMAC([]byte("0123456789abcdef"), h, Client), NewFrameMAC([]byte("0123456789abcdef"), h, Client)
}

// Guards against fields that are lost in encoding, for every type, and against types without
// a name.
func TestFramesRoundTrip(t *testing.T) {
	send, check := testMACs()
	for i, m := range testMessages {
		if m.Type() != Type(i+1) || m.Type().String() == "unknown" {
			t.Fatalf("message %d has type %d %s", i, m.Type(), m.Type())
		}
		for _, macs := range [][2]*FrameMAC{{nil, nil}, {send, check}} {
			want := Frame{Correlation: uint64(i) << 30, Reply: i%2 == 0, Message: m}
			b, err := AppendFrame([]byte("prefix"), want, macs[0])
			if err != nil {
				t.Fatal(err)
			}
			r := bytes.NewReader(b[len("prefix"):])
			body, err := ReadFrame(r, MaxFrameBytes)
			if err != nil || r.Len() > 0 {
				t.Fatalf("%s: %v, %d bytes left", m.Type(), err, r.Len())
			}
			got, err := DecodeFrame(body, macs[1])
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: got %v, %v", m.Type(), got, err)
			}
		}
	}
}

// Guards against frames above the limit, when encoding and when reading, and against
// allocating memory for the length field alone.
func TestFrameLimits(t *testing.T) {
	if _, err := AppendFrame(nil, Frame{Message: Query{make([]byte, MaxFrameBytes)}}, nil); err != ErrTooLarge {
		t.Errorf("append: %v", err)
	}
	head := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	if _, err := ReadFrame(bytes.NewReader(head), MaxFrameBytes); err != ErrTooLarge {
		t.Errorf("read: %v", err)
	}
	head = binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := ReadFrame(bytes.NewReader(head), MaxFrameBytes); err != io.ErrUnexpectedEOF {
		t.Errorf("truncated: %v", err)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 512<<10 {
		t.Errorf("%d bytes allocated for a frame of which only the length arrived", allocated)
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0, 0, 0, 1, Version}), MaxFrameBytes); err != ErrTruncated {
		t.Errorf("short: %v", err)
	}
}

// Guards against fields and lists above their limits.
func TestFieldLimits(t *testing.T) {
	longName := string(make([]byte, maxNameBytes+1))
	for _, m := range []Message{
		Hello{Nonce: make([]byte, maxNonceBytes+1)},
		Hello{Identity: Identity{Name: longName}},
		ConfigPull{configsync.Pull{Have: make([]configsync.Hash, maxSections+1)}},
		ConfigPush{configsync.Push{Manifest: []configsync.SectionRef{{Name: longName}}}},
	} {
		b, err := AppendFrame(nil, Frame{Message: m}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeFrame(b[lengthFieldSize:], nil); errors.Cause(err) != ErrMalformed {
			t.Errorf("%s: %v", m.Type(), err)
		}
	}
}

// Guards against accepting repeated, reordered, reflected or modified frames on a connection
// without TLS.
func TestFrameMACRejectsReplay(t *testing.T) {
	frame := func(m *FrameMAC, s string) []byte {
		b, err := AppendFrame(nil, Frame{Message: Query{[]byte(s)}}, m)
		if err != nil {
			t.Fatal(err)
		}
		return b[lengthFieldSize:]
	}
	mustRefuse := func(name string, m *FrameMAC, b []byte) {
		if _, err := DecodeFrame(b, m); err != ErrUnauthenticated {
			t.Errorf("%s: %v", name, err)
		}
	}
	send, check := testMACs()
	first, second := frame(send, "1"), frame(send, "2")
	if _, err := DecodeFrame(first, check); err != nil {
		t.Fatal(err)
	}
	mustRefuse("repeated", check, first)
	_, check = testMACs()
	mustRefuse("swapped", check, second)
	send, check = testMACs()
	changed := frame(send, "3")
	changed[5] ^= 1
	mustRefuse("changed", check, changed)
	h := Handshake{Client: testIdentity, ClientNonce: []byte("c"), ServerNonce: []byte("s")}
	mustRefuse("reflected", NewFrameMAC([]byte("0123456789abcdef"), h, Server), first)
}

// Guards against a key rotation that signs with the wrong key or fails to verify with another.
func TestKeyRotation(t *testing.T) {
	oldKey, newKey := []byte("old key 89abcdef"), []byte("new key 89abcdef")
	list, err := NewKeyList(oldKey, newKey)
	if err != nil {
		t.Fatal(err)
	}
	if mac := list.Sign([]byte("x")); !bytes.Equal(mac, SignWith(oldKey, []byte("x"))) {
		t.Error("the first key does not sign")
	}
	if key := list.Verify([]byte("x"), SignWith(newKey, []byte("x"))); !bytes.Equal(key, newKey) {
		t.Error("the second key does not verify")
	}
	if list.Set() == nil || list.Set([]byte("short")) == nil {
		t.Error("a list without usable keys was accepted")
	}
	if list.Set(newKey) != nil || list.Verify([]byte("x"), SignWith(oldKey, []byte("x"))) != nil {
		t.Error("a removed key verifies")
	}
}

// FuzzFrame guards against inputs that make the decoder panic, allocate more memory than
// their size justifies, or change when they are encoded again.
func FuzzFrame(f *testing.F) {
	for _, m := range testMessages[:len(testMessages)-4] {
		b, err := AppendFrame(nil, Frame{Correlation: 1, Message: m}, nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b[lengthFieldSize:])
		f.Add(b[lengthFieldSize : len(b)/2+lengthFieldSize/2])
	}
	f.Add([]byte{Version, byte(TypeConfigPull), 1, 0xc2, 1, 0xc4, 32})
	f.Add([]byte{Version, byte(TypeQuery), 1, 0xc2, 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{Version, byte(TypeConfigPush), 1, 0xc2, 1, 0xc0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{Version + 1, byte(TypeDone), 0, 0xc2})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := DecodeFrame(b, nil)
		if err != nil {
			return
		}
		reencoded, err := AppendFrame(nil, frame, nil)
		if err != nil {
			t.Fatalf("%v cannot be encoded: %v", frame, err)
		}
		second, err := DecodeFrame(reencoded[lengthFieldSize:], nil)
		if err != nil || !reflect.DeepEqual(frame, second) {
			t.Fatalf("%v became %v, %v", frame, second, err)
		}
		// A frame without a MAC must be refused when a MAC is expected.
		if _, check := testMACs(); errors.Cause(errorOf(DecodeFrame(b, check))) == nil {
			t.Fatal("a frame without MAC was accepted")
		}
	})
}

func errorOf(_ Frame, err error) error { return err }
