package streamorigin

import (
	"testing"
	"time"
)

func testRecord(id, version string) Record {
	return Record{Key: KeyOf("team", id), Origin: Origin{Service: "svc", Version: version, Upstream: "i-" + version, Incarnation: "1000", BeganAt: 5000, Domain: "a"}}
}

// Guards against a record that is lost, outlives its stream, or is given to another stream.
func TestRecordIsKeptForItsLifetime(t *testing.T) {
	r := NewRegistry()
	r.Put(time.Second, testRecord("x", "v1"))
	if _, ok := r.Get(2*time.Second, KeyOf("other", "x")); ok {
		t.Error("another team's stream with the same ID is known")
	}
	if origin, ok := r.Get(time.Second+Lifetime-1, KeyOf("team", "x")); !ok || origin.Version != "v1" {
		t.Errorf("%+v %v", origin, ok)
	}
	if _, ok := r.Get(time.Second+Lifetime, KeyOf("team", "x")); ok {
		t.Error("known after its lifetime")
	}
}

// Guards against copies that are passed on for ever, each time as if they were new.
func TestCopiedRecordKeepsItsAge(t *testing.T) {
	a, b := NewRegistry(), NewRegistry()
	a.Put(0, testRecord("x", "v1"))
	copied, ok := a.Record(Lifetime/2, KeyOf("team", "x"))
	if !ok || copied.Age != Lifetime/2 {
		t.Fatalf("%+v %v", copied, ok)
	}
	b.Put(10*time.Second, copied)
	if _, ok := b.Get(10*time.Second+Lifetime/2, KeyOf("team", "x")); ok {
		t.Error("the copy lives longer than the record")
	}
}

// Guards against a renewed record that expires with the first one.
func TestRenewedRecordLivesOn(t *testing.T) {
	r := NewRegistry()
	r.Put(0, testRecord("x", "v1"))
	r.Put(Lifetime/2, testRecord("x", "v1"))
	if _, ok := r.Get(Lifetime+1, KeyOf("team", "x")); !ok {
		t.Error("the renewed record has expired")
	}
	old := testRecord("x", "v1")
	old.Age = Lifetime - time.Second
	r.Put(Lifetime+1, old)
	if _, ok := r.Get(Lifetime+2*time.Second, KeyOf("team", "x")); !ok {
		t.Error("an older copy has shortened the life of the record")
	}
}

// Guards against a stream that goes on at one of two versions that are both on record for its ID.
func TestKeyWithTwoOriginsIsUnknown(t *testing.T) {
	r := NewRegistry()
	r.Put(0, testRecord("x", "v1"))
	r.Put(1, testRecord("x", "v2"))
	r.Put(2, testRecord("x", "v1"))
	if origin, ok := r.Get(3, KeyOf("team", "x")); ok {
		t.Errorf("known as %+v", origin)
	}
	r.All(3, func(record Record) { t.Errorf("passed on: %+v", record) })
}

// Guards against an upstream that starts again as another version, and whose entry is read too early or
// too late to tell at which of the two a stream began.
func TestOriginOfRestartedUpstream(t *testing.T) {
	origin := Origin{Version: "v1", Incarnation: "1000", BeganAt: 5000}
	for name, tc := range map[string]struct {
		version, incarnation string
		bornAt               int64
		superseded           bool
	}{
		"same process":                         {"v1", "1000", 1000, false},
		"same version":                         {"v1", "4000", 4000, false},
		"started before the stream":            {"v2", "4000", 4000, true},
		"started with the stream":              {"v2", "5100", 5100, true},
		"started after the stream":             {"v2", "5600", 5600, false},
		"does not say when it started":         {"v2", "", 0, true},
		"same process, entry says another":     {"v2", "1000", 1000, false},
		"a start that is no time counts early": {"v2", "x", 0, true},
	} {
		if got := origin.SupersededBy(tc.version, tc.incarnation, tc.bornAt); got != tc.superseded {
			t.Errorf("%s: %v", name, got)
		}
	}
}
