package orders

import (
	"bytes"
	"encoding/base64"
	"errors"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

func newTestKeyring(t testing.TB, keys ...string) Keyring {
	raw := make([][]byte, len(keys))
	for i, k := range keys {
		raw[i] = []byte(k)
	}
	k, err := NewKeyring(raw...)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func testMember(id byte, address string) Member {
	return Member{Incarnation: Incarnation{id}, Address: netip.MustParseAddrPort(address)}
}

type testLedger struct {
	*Ledger
	t       testing.TB
	witness Member
}

func newTestLedger(t testing.TB, options LedgerOptions) testLedger {
	s := newSimulation(7, 0, instanceLimits{})
	options.Self, options.Keys, options.Random = testMember(1, "10.0.0.1:7000"), s.keys, s
	return testLedger{NewLedger(options), t, testMember(2, "10.0.0.2:7000")}
}

func (l testLedger) issue(witness Member) Ticket {
	t, err := l.Issue(0, "team", witness)
	if err != nil {
		l.t.Fatal(err)
	}
	return t
}

// completeOrder issues a ticket and runs its order until its response is stored.
func (l testLedger) completeOrder(now time.Duration, response Response) Ticket {
	t := l.issue(Member{})
	l.Begin(now, t, BodyHash{1})
	if !l.MarkSending(now, t.ID) || !l.Finish(now, t.ID, response) {
		l.t.Fatal("order did not finish")
	}
	return t
}

// TestTicketEncoding guards against a ticket that changes when it is encoded and parsed, that
// is too long, or that is accepted when it is forged, truncated, extended or not in the
// canonical encoding.
func TestTicketEncoding(t *testing.T) {
	oldKey, bothKeys, newKey := newTestKeyring(t, "old"), newTestKeyring(t, "new", "old"), newTestKeyring(t, "new")
	rapid.Check(t, func(r *rapid.T) {
		addresses := rapid.SampledFrom([]string{"10.1.2.3:7000", "[2001:db8::1]:65535"})
		ticket := Ticket{Owner: testMember(1, addresses.Draw(r, "owner")), Team: rapid.StringN(0, -1, MaxTeamSize).Draw(r, "team"),
			Number: rapid.Uint64().Draw(r, "number"), ID: TicketID{rapid.Byte().Draw(r, "id")}}
		if rapid.Bool().Draw(r, "witness") {
			ticket.Witness = testMember(2, addresses.Draw(r, "witness address"))
		}
		oldKey.sign(&ticket)
		text := ticket.String()
		if len(ticket.Team) <= 20 && len(text) > 200 || len(text) > 256 {
			r.Fatalf("text form has %d characters with a team name of %d", len(text), len(ticket.Team))
		}
		for _, k := range []Keyring{oldKey, bothKeys} {
			if got, err := k.ParseText(text); err != nil || got != ticket {
				r.Fatalf("got %v, %v; want %v", got, err, ticket)
			}
		}
		if _, err := newKey.ParseText(text); !errors.Is(err, ErrTicketMAC) {
			r.Fatalf("ticket of a removed key: %v", err)
		}
		b, _ := ticket.MarshalBinary()
		corrupted := bytes.Clone(b)
		corrupted[rapid.IntRange(0, len(b)-1).Draw(r, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
		for _, bad := range [][]byte{corrupted, b[:rapid.IntRange(0, len(b)-1).Draw(r, "length")], append(bytes.Clone(b), 0)} {
			if _, err := oldKey.Parse(bad); err == nil {
				r.Fatalf("accepted %x for %x", bad, b)
			}
		}
		for _, bad := range []string{text + "=", text + "\n", text[:10] + "\r\n" + text[10:], strings.Repeat("A", 400)} {
			if _, err := oldKey.ParseText(bad); err == nil {
				r.Fatalf("accepted %q", bad)
			}
		}
	})
}

// TestMalformedTicketWithValidMAC guards against out-of-range reads, and against several
// encodings of one ticket, when a key holder signs a malformed payload.
func TestMalformedTicketWithValidMAC(t *testing.T) {
	k := newTestKeyring(t, "key")
	ticket := Ticket{Owner: testMember(1, "10.0.0.1:1"), Team: "team"}
	good := ticket.payload()
	for name, payload := range map[string][]byte{
		"version":         append([]byte{9}, good[1:]...),
		"family":          append([]byte{1, 5}, good[2:]...),
		"no owner":        append([]byte{1, 0}, good[24:]...),
		"short":           good[:len(good)-1],
		"long":            append(bytes.Clone(good), 0),
		"mapped address":  Ticket{Owner: testMember(1, "[::ffff:10.0.0.1]:1"), Team: "team"}.payload(),
		"zero member":     append([]byte{1, familyIPv4}, append(make([]byte, 16), good[18:]...)...),
		"team too long":   Ticket{Owner: ticket.Owner, Team: strings.Repeat("x", MaxTeamSize+1)}.payload(),
		"nothing at all":  {},
		"only a version":  {1},
		"truncated owner": good[:10],
	} {
		signed := append(bytes.Clone(payload), computeMAC(k.keys[0], payload)...)
		if _, err := k.ParseText(base64.RawURLEncoding.EncodeToString(signed)); !errors.Is(err, ErrTicketMalformed) {
			t.Errorf("%s: %v, want %v", name, err, ErrTicketMalformed)
		}
	}
}

// TestMarkSendingOnce guards against sending an order twice, before the witness incarnation
// named in the ticket acknowledges the intent, or after the ticket is sealed.
func TestMarkSendingOnce(t *testing.T) {
	l := newTestLedger(t, LedgerOptions{})
	ticket := l.issue(l.witness)
	if d := l.Begin(0, ticket, BodyHash{1}); d.Action != ActionRecordIntent {
		t.Fatalf("decision %v", d)
	}
	if l.MarkSending(0, ticket.ID) || l.IntentAcked(0, ticket.ID, Incarnation{3}) || l.MarkSending(0, ticket.ID) {
		t.Error("sent without the acknowledgement of the named witness")
	}
	if !l.IntentAcked(0, ticket.ID, l.witness.Incarnation) || !l.MarkSending(0, ticket.ID) {
		t.Error("not sent after the acknowledgement")
	}
	if l.MarkSending(0, ticket.ID) || l.IntentAcked(0, ticket.ID, l.witness.Incarnation) || l.MarkSending(0, ticket.ID) {
		t.Error("sent twice")
	}
	if o := l.Seal(0, ticket); o.Kind != Running {
		t.Errorf("sealing an order that is being sent: %s", o.Kind)
	}
	ready := l.issue(Member{})
	l.Begin(0, ready, BodyHash{1})
	if o := l.Seal(0, ready); o.Kind != NotRun || l.MarkSending(0, ready.ID) {
		t.Errorf("sealed as %s and sent", o.Kind)
	}
	waiting := l.issue(l.witness)
	l.Begin(0, waiting, BodyHash{1})
	if ids := l.Close(0); len(ids) != 1 || ids[0] != waiting.ID || l.IntentAcked(0, waiting.ID, l.witness.Incarnation) || l.ActiveOrders() != 1 {
		t.Errorf("closing sealed %v", ids)
	}
	if _, err := l.Issue(0, "team", l.witness); !errors.Is(err, ErrLedgerClosed) {
		t.Errorf("closed ledger issues: %v", err)
	}
	if d := l.Begin(0, ready, BodyHash{1}); d.Outcome.Kind != NotRun {
		t.Errorf("sealed ticket begins with %v", d)
	}
}

// TestConcurrentSendersSendOnce guards against two goroutines that both send one order and,
// with the race detector, against unsynchronized access.
func TestConcurrentSendersSendOnce(t *testing.T) {
	l := newTestLedger(t, LedgerOptions{})
	for range 200 {
		ticket := l.issue(l.witness)
		var sent atomic.Int32
		var g errgroup.Group
		for range 4 {
			g.Go(func() error {
				l.Begin(0, ticket, BodyHash{1})
				l.IntentAcked(0, ticket.ID, l.witness.Incarnation)
				if l.MarkSending(0, ticket.ID) {
					sent.Add(1)
					l.Finish(0, ticket.ID, Response{})
				}
				return nil
			})
		}
		_ = g.Wait()
		if n := sent.Load(); n != 1 {
			t.Fatalf("sent %d times", n)
		}
	}
}

// TestStoredResponsesAreBounded guards against unbounded memory for responses, and against a
// ticket that runs again or is reported as not run after its response is evicted.
func TestStoredResponsesAreBounded(t *testing.T) {
	l := newTestLedger(t, LedgerOptions{MaxResponseBytes: shardCount * 1000, TicketWindow: shardCount * 64})
	response := Response{Status: 200, Body: make([]byte, 100)}
	var tickets []Ticket
	for range 40 {
		tickets = append(tickets, l.completeOrder(0, response))
	}
	if cost := l.shards[0].outcomes.Cost(); cost > 1000 {
		t.Errorf("%d bytes of responses, want at most 1000", cost)
	}
	kind := func(now time.Duration, ticket Ticket) OutcomeKind {
		d := l.Begin(now, ticket, BodyHash{1})
		if d.Action != ActionReport {
			t.Fatalf("used ticket gets action %d", d.Action)
		}
		return d.Outcome.Kind
	}
	if first, last := kind(0, tickets[0]), kind(DefaultRetention-1, tickets[39]); first != Unknown || last != Done {
		t.Errorf("oldest is %s and newest %s, want unknown and done", first, last)
	}
	for _, ticket := range tickets {
		if k := kind(DefaultRetention, ticket); k != Unknown {
			t.Fatalf("after the retention: %s", k)
		}
	}
	notBegun := l.issue(Member{})
	for range 200 {
		l.issue(Member{})
	}
	if k := kind(0, notBegun); k != Unknown || kind(0, tickets[0]) != Unknown {
		t.Errorf("ticket below the window is %s, want unknown", k)
	}
}

// TestHandoverKeepsResponses guards against a handover that loses responses, splits them
// incorrectly or does not bound them, and against a successor that answers before it has
// all parts. It also covers the handover from one successor to the next.
func TestHandoverKeepsResponses(t *testing.T) {
	l := newTestLedger(t, LedgerOptions{})
	response := Response{Status: 200, Body: make([]byte, 400_000)}
	var tickets []Ticket
	for range 3 {
		tickets = append(tickets, l.completeOrder(0, response))
	}
	notBegun := l.issue(Member{})
	parts := l.Export(0)
	for range 2 {
		s := NewSuccessor(SuccessorOptions{MaxResponseBytes: 4 << 20})
		for i, p := range parts {
			if _, ok := s.Lookup(0, notBegun, BodyHash{}); ok {
				t.Fatalf("answered after %d of %d parts", i, len(parts))
			}
			if complete, err := s.Import(0, p); err != nil || complete != (i == len(parts)-1) {
				t.Fatalf("part %d: complete %v, %v", i, complete, err)
			}
		}
		for _, ticket := range tickets {
			if o, ok := s.Lookup(0, ticket, BodyHash{1}); !ok || o.Kind != Done || len(o.Response.Body) != 400_000 {
				t.Errorf("answer is %s, %v", o.Kind, ok)
			}
		}
		if o, _ := s.Lookup(0, notBegun, BodyHash{}); o.Kind != NotRun {
			t.Errorf("ticket that was not begun is %s", o.Kind)
		}
		parts = s.Export(0)
	}
}

// TestWitnessRefusesIntentsWhenFull guards against a witness that loses the eviction mark of
// an owner when its table is full. It must refuse intents instead.
func TestWitnessRefusesIntentsWhenFull(t *testing.T) {
	w := NewWitness(WitnessOptions{Self: Incarnation{9}, MaxRecords: 1, MaxOwners: 1})
	ticket := func(owner byte) Ticket {
		return Ticket{ID: TicketID{0, owner}, Owner: Member{Incarnation: Incarnation{owner}}, Witness: Member{Incarnation: Incarnation{9}}}
	}
	if !w.RecordIntent(0, ticket(1), BodyHash{1}) || !w.RecordIntent(0, ticket(2), BodyHash{1}) {
		t.Fatal("no room for the first intents")
	}
	if w.RecordIntent(0, ticket(3), BodyHash{1}) {
		t.Error("accepted an intent that evicts a record without an eviction mark")
	}
	for owner, want := range map[byte]OutcomeKind{1: Unknown, 2: Unknown, 3: Unknown} {
		if o := w.Query(0, ticket(owner), BodyHash{1}); o.Kind != want {
			t.Errorf("owner %d: %s, want %s", owner, o.Kind, want)
		}
	}
}
