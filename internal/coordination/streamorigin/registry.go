package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// Lifetime is how long a record is kept. It exceeds the time that callers stay with a stream;
	// records of streams that last longer are renewed when they end.
	Lifetime = 2 * time.Minute
	// shardCount is the number of parts of a registry, each under its own lock.
	shardCount = 16
	// maxRecordsPerShard bounds the memory of a registry to some ten megabytes.
	maxRecordsPerShard = 4096
	// minBirthMargin is the least time between the first event of a stream and the later start of a
	// process under the same upstream ID from which the stream certainly began at the process before.
	// The clocks of the two may differ.
	minBirthMargin = 500 * time.Millisecond
)

// Key identifies a stream among the streams of all teams.
type Key [16]byte

// KeyOf returns the key of the stream whose first event was brought by the team's request with the ID.
func KeyOf(team, requestID string) Key {
	// The length prefix makes the boundary between team and ID unambiguous.
	text := binary.BigEndian.AppendUint64(nil, uint64(len(team)))
	text = append(append(text, team...), requestID...)
	sum := sha256.Sum256(text)
	return Key(sum[:len(Key{})])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the upstream that sent the first event.
	Version string
	// Upstream and Incarnation identify that upstream as published at the time. The incarnation is the
	// start of its process in Unix milliseconds, or empty.
	Upstream, Incarnation string
	// BeganAt is the time of the first event in Unix milliseconds.
	BeganAt int64
	// Domain is the failure domain of the instance that forwarded the first event.
	Domain string
}

// sameRun reports whether both describe the begin of one stream at one version.
func (o Origin) sameRun(other Origin) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Upstream == other.Upstream && o.Incarnation == other.Incarnation
}

// SupersededBy reports whether another process with another version that has started under the upstream's
// ID, at bornAt in Unix milliseconds, may already have sent the first event: the entry from which the origin
// was read may have been outdated.
func (o Origin) SupersededBy(version, incarnation string, bornAt int64) bool {
	if incarnation == o.Incarnation || version == o.Version {
		return false
	}
	return bornAt < o.BeganAt+minBirthMargin.Milliseconds()
}

// Record is an origin with its key, as sent between instances.
type Record struct {
	Key    Key
	Origin Origin
	// Age is the time since the record was written or renewed.
	Age time.Duration
}

type stored struct {
	origin    Origin
	ambiguous bool
	writtenAt time.Duration
}

// Registry holds the records that an instance keeps. It is safe for concurrent use.
type Registry struct{ shards [shardCount]shard }

type shard struct {
	mu      sync.Mutex
	records *expiring.Map[Key, stored]
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	for i := range r.shards {
		r.shards[i].records = expiring.New(expiring.Options[Key, stored]{TTL: Lifetime, MaxEntries: maxRecordsPerShard})
	}
	return r
}

func (r *Registry) shardOf(k Key) *shard { return &r.shards[k[0]%shardCount] }

// Put adds or renews a record. A key with another origin becomes ambiguous.
func (r *Registry) Put(now time.Duration, record Record) {
	if record.Age < 0 || record.Age >= Lifetime {
		return
	}
	s := r.shardOf(record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	next := stored{origin: record.Origin, writtenAt: now - record.Age}
	if old, ok := s.records.Peek(now, record.Key); ok {
		if old.writtenAt >= next.writtenAt && old.origin.sameRun(next.origin) {
			return
		}
		next.ambiguous = old.ambiguous || !old.origin.sameRun(next.origin)
	}
	s.records.Put(next.writtenAt, record.Key, next, 0)
}

// Get returns the origin of a stream. It is not known if there is no record or more than one.
func (r *Registry) Get(now time.Duration, k Key) (Origin, bool) {
	record, ok := r.Record(now, k)
	return record.Origin, ok
}

// Record returns the record of a stream unless it is ambiguous.
func (r *Registry) Record(now time.Duration, k Key) (Record, bool) {
	s := r.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records.Peek(now, k)
	if !ok || found.ambiguous {
		return Record{}, false
	}
	return Record{Key: k, Origin: found.origin, Age: now - found.writtenAt}, true
}

// All calls f for each record that is not ambiguous.
func (r *Registry) All(now time.Duration, f func(Record)) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		var records []Record
		s.records.All(now, func(k Key, v stored, _ time.Duration) bool {
			if !v.ambiguous {
				records = append(records, Record{Key: k, Origin: v.origin, Age: now - v.writtenAt})
			}
			return true
		})
		s.mu.Unlock()
		for _, record := range records {
			f(record)
		}
	}
}

// Len returns the number of records.
func (r *Registry) Len(now time.Duration) int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.records.Expire(now)
		n += s.records.Len()
		s.mu.Unlock()
	}
	return n
}
