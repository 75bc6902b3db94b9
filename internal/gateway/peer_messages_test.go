package gateway

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/evacuation"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/coordination/streamorigin"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// messageExample is one message between instances with the values of the golden files.
type messageExample struct {
	name    string
	compact bool // encoded as arrays, without the names of fields
	value   any
}

// messageExamples returns a value of each message whose payload this package encodes. The examples of the
// first covered build have no fields that were added later.
func messageExamples(firstBuild bool) []messageExample {
	item := replica.Item{Key: "servers/i-1", Value: []byte(`{"service":"svc"}`), Era: 3, Revision: 17}
	pull := pullMessage{Era: 3, Revision: 17, ConfigurationVersion: 5, RefusedDigest: 99}
	push := pushMessage{
		Snapshot:      &replica.Snapshot{Era: 3, Revision: 18, Items: []replica.Item{item}},
		Configuration: &replica.Item{Key: "op/config", Value: []byte("{}"), Era: 3, Revision: 12},
		Suspicions: []quarantine.Suspicion{{Fingerprint: 7, Part: true, Team: "team", Cleared: true, Age: 2 * time.Second,
			Crashes: []quarantine.CrashID{{Upstream: "i-1", Incarnation: "1700000000000"}}}},
		Versions: streamorigin.Observations{ObservedFor: time.Minute, Versions: []streamorigin.ObservedVersion{{Service: "svc", Version: "v1", Age: time.Second}}},
	}
	if !firstBuild {
		pull.Follow = followMessage{WaitMS: 800}
		pull.Deferred = []replica.EntryState{{Key: "servers/i-3", Era: 3, Revision: 14}}
		pull.Brief, pull.ConfigurationAt = true, replica.Position{Era: 3, Revision: 12}
		push.Brief = &briefAnswer{Changes: []replica.Change{{Item: item}}, ChangesTo: replica.Position{Era: 3, Revision: 18}, Position: replica.Position{Era: 3, Revision: 19},
			ConfigurationVersion: 6, ConfigurationAt: replica.Position{Era: 3, Revision: 12}}
		push.Settled = true
		push.Evacuations = []evacuation.Record{{Domain: "a", Evacuated: true, Era: 3, Revision: 16}}
		push.Removed = pull.Deferred
		push.Follow = followAnswer{Served: true, Era: 3, Revision: 18, AgeMS: 40, OutageEnded: true, OutageEndedMS: 5000,
			Changes: []replica.Change{{Item: item}, {Item: replica.Item{Key: "servers/i-2", Revision: 18}, Deleted: true}}}
	}
	return []messageExample{
		{"pull", false, pull},
		{"push", false, push},
		{"suspicions", false, push.Suspicions},
		{"reports", true, reportBatch{Relayed: true, Reports: []originReport{{Origin: "0011", Sequence: 4, Services: map[string]dispatch.Report{"svc": {
			Placed: []dispatch.Work{{Upstream: 1, Prefill: 90 * time.Millisecond, Rank: 2, Long: true, Session: dispatch.Part{ID: 8, Tokens: 6000}}},
			Loads:  []dispatch.Load{{Upstream: 1, InFlight: 3, Streams: 2}},
			Full:   true,
			Limits: []dispatch.UpstreamLimit{{Upstream: 1, Incarnation: 5}},
		}}}}}},
		{"origins", true, []streamorigin.Record{{Key: streamorigin.KeyOf("team", "id"), Age: time.Second, Origin: streamorigin.Origin{
			Service: "svc", Version: "v1", Upstream: "i-1", Incarnation: "1700000000000", BeganAt: 1700000001000, Domain: "a"}}}},
	}
}

func (e messageExample) encode(t *testing.T) []byte {
	t.Helper()
	encode := msgpack.Marshal
	if e.compact {
		encode = encodeCompact
	}
	b, err := encode(e.value)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// decodeLike decodes b into a new value of the type of example.
func decodeLike(t *testing.T, b []byte, example any) any {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(example))
	if err := msgpack.Unmarshal(b, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	return decoded.Elem().Interface()
}

// hexLines makes a binary message readable in a difference.
func hexLines(b []byte) []byte {
	var out bytes.Buffer
	for chunk := range slices.Chunk(b, 32) {
		fmt.Fprintf(&out, "%x\n", chunk)
	}
	return out.Bytes()
}

// firstCoveredBuild is the commit from which on builds run side by side. Its messages stand in the golden files of
// that name, written by that build.
const firstCoveredBuild = "9515157"

// Guards against a message that changes without notice: builds that are in service side by side must read it. A field
// with a name may be added, with a zero value that means what an older build does; then the golden file is
// written anew with -update. See docs/decisions/peer-messages.md.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/messages"))
	for _, e := range messageExamples(false) {
		g.Assert(t, e.name, hexLines(e.encode(t)))
	}
}

// Guards against a build that misreads what the first covered build sends.
func TestMessagesOfTheFirstBuildAreRead(t *testing.T) {
	for _, e := range messageExamples(true) {
		text, err := os.ReadFile(filepath.Join("testdata", "messages", firstCoveredBuild, e.name+".golden"))
		if err != nil {
			t.Fatal(err)
		}
		var b []byte
		if _, err := fmt.Sscanf(strings.ReplaceAll(string(text), "\n", ""), "%x", &b); err != nil {
			t.Fatal(err)
		}
		if got := decodeLike(t, b, e.value); !reflect.DeepEqual(got, e.value) {
			t.Errorf("%s: %+v\nwant %+v", e.name, got, e.value)
		}
	}
}

// The messages as the first covered build declares them.
type (
	firstPull struct{ Era, Revision, ConfigurationVersion, RefusedDigest uint64 }
	firstPush struct {
		Snapshot      *replica.Snapshot
		Configuration *replica.Item
		Suspicions    []quarantine.Suspicion
		Versions      streamorigin.Observations
	}
)

// Guards against messages that the first covered build cannot read, or reads as something else.
func TestFirstBuildReadsMessages(t *testing.T) {
	for i, e := range messageExamples(false) {
		want := messageExamples(true)[i].value
		switch first := want.(type) {
		case pullMessage:
			want = firstPull{first.Era, first.Revision, first.ConfigurationVersion, first.RefusedDigest}
		case pushMessage:
			want = firstPush{first.Snapshot, first.Configuration, first.Suspicions, first.Versions}
		}
		if got := decodeLike(t, e.encode(t), want); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v\nwant %+v", e.name, got, want)
		}
	}
}

// Guards against a message without a contract: the page has a row for each message type that instances which
// forward requests send.
func TestEveryMessageHasAContract(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "decisions", "peer-messages.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range []peerwire.Message{
		peerwire.Hello{}, peerwire.KeepAlive{}, peerwire.Done{}, peerwire.Failure{}, peerwire.ReplicaPull{}, peerwire.ReplicaPush{}, peerwire.Suspicions{},
		peerwire.DispatchReport{}, peerwire.StreamOrigins{}, peerwire.StreamOriginQuery{}, peerwire.StreamOriginAnswer{},
		peerwire.RelayOpen{}, peerwire.RelayData{}, peerwire.RelayEnd{},
	} {
		if !strings.Contains(string(page), "| `"+message.Type().String()+"` |") {
			t.Errorf("the page has no row for %s", message.Type())
		}
	}
}
