package orderwire

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

func newKeyring(t testing.TB, key byte) orders.Keyring {
	t.Helper()
	k, err := orders.NewKeyring(bytes.Repeat([]byte{key}, 32))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func issueTicket(t testing.TB, keys orders.Keyring) orders.Ticket {
	t.Helper()
	member := func(b byte) orders.Member {
		return orders.Member{Incarnation: orders.Incarnation{b}, Address: netip.MustParseAddrPort("127.0.0.1:7000")}
	}
	ledger := orders.NewLedger(orders.LedgerOptions{Self: member(1), Keys: keys, Random: bytes.NewReader(make([]byte, 16))})
	ticket, err := ledger.Issue(0, "desk", member(2))
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// Guards against fields that are lost in encoding: one could turn "unknown" into "not run".
func TestMessagesArriveUnchanged(t *testing.T) {
	keys := newKeyring(t, 7)
	ticket := issueTicket(t, keys)
	request := orders.RequestID{Entry: orders.Incarnation{9}, Number: 1 << 40, Attempt: 3}
	done := orders.Outcome{Kind: orders.Done, Response: orders.Response{Status: 201, ContentType: "text/plain", Body: []byte("ok")}}
	for _, m := range []orders.Message{
		orders.OrderForward{Request: request, Ticket: ticket, Body: []byte("b"), StatusOnly: true},
		orders.OrderAnswer{Request: request, Outcome: done},
		orders.QueryAnswer{Request: request, Outcome: orders.Outcome{Kind: orders.NotRun}},
		orders.Intent{Ticket: ticket, BodyHash: orders.BodyHash{1}},
		orders.IntentAck{ID: ticket.ID, Witness: orders.Incarnation{2}, Granted: true},
		orders.OutcomeReport{Ticket: ticket, BodyHash: orders.BodyHash{1}, Outcome: done},
		orders.Query{Request: request, Ticket: ticket, BodyHash: orders.BodyHash{1}},
		orders.HandoverPart{Owner: orders.Incarnation{1}, Index: 2, Count: 20, Shard: -1, Low: 1, Next: 9, Uses: []byte{1},
			Outcomes: []orders.HandoverOutcome{{ID: ticket.ID, BodyHash: orders.BodyHash{1}, Outcome: done, Left: time.Minute}}},
		orders.SuccessorAnnouncement{Owner: orders.Incarnation{1}, Successor: orders.Member{Incarnation: orders.Incarnation{2}, Address: netip.MustParseAddrPort("[::1]:9")}},
	} {
		wire, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(keys, wire)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%T: got %+v, %v, want %+v", m, got, err, m)
		}
	}
}

// Guards against accepting a ticket that was not signed with the key of the peers.
func TestForgedTicketIsRefused(t *testing.T) {
	wire, err := Encode(orders.Intent{Ticket: issueTicket(t, newKeyring(t, 1))})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := Decode(newKeyring(t, 2), wire); err == nil {
		t.Errorf("accepted %+v", m)
	}
}

// FuzzDecode guards against inputs that make the decoder panic.
func FuzzDecode(f *testing.F) {
	keys := newKeyring(f, 7)
	wire, err := Encode(orders.Intent{Ticket: issueTicket(f, keys)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(wire.(peerwire.Intent).Payload)
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range []peerwire.Message{
			peerwire.OrderForward{Payload: b}, peerwire.OrderAnswer{Payload: b}, peerwire.Intent{Payload: b},
			peerwire.IntentAck{Payload: b}, peerwire.Outcome{Payload: b}, peerwire.Query{Payload: b}, peerwire.LedgerHandover{Payload: b},
		} {
			// Errors are expected; only a panic is a failure.
			_, _ = Decode(keys, m)
		}
	})
}
