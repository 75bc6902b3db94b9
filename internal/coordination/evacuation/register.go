package evacuation

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
)

// maxRecords bounds the failure domains of which a register keeps records. Regions have a few dozen.
const maxRecords = 256

// Record is what is known of one failure domain, as exchanged between instances.
type Record struct {
	Domain    string
	Evacuated bool
	// Era and Revision are the position of the change that began or ended the evacuation.
	Era, Revision uint64
}

func (r Record) position() replica.Position {
	return replica.Position{Era: r.Era, Revision: r.Revision}
}

// Evacuation is an evacuation in progress.
type Evacuation struct {
	Record
	// Since is when this instance learned of it.
	Since time.Duration
}

// Register holds the evacuations that an instance knows of. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	records map[string]Evacuation // by failure domain, also those that have ended
}

// New returns an empty register.
func New() *Register { return &Register{records: map[string]Evacuation{}} }

// Apply applies a record unless a newer one is known. It reports whether the failure domain has been evacuated or taken
// back by it.
func (r *Register) Apply(now time.Duration, record Record) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.records[record.Domain]
	if ok && record.position().Compare(known.position()) <= 0 || !ok && !r.makeRoom(record) {
		return false
	}
	next := Evacuation{Record: record, Since: now}
	if known.Evacuated && record.Evacuated {
		next.Since = known.Since
	}
	r.records[record.Domain] = next
	return known.Evacuated != record.Evacuated
}

// makeRoom reports whether there is room for a record; one of an evacuation replaces one of an end. The caller must
// hold mu.
func (r *Register) makeRoom(record Record) bool {
	if len(r.records) < maxRecords {
		return true
	}
	for domain, known := range r.records {
		if record.Evacuated && !known.Evacuated {
			delete(r.records, domain)
			return true
		}
	}
	return false
}

// Evacuated reports whether a failure domain is evacuated.
func (r *Register) Evacuated(domain string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[domain].Evacuated
}

// InProgress returns the evacuations in progress, sorted by failure domain.
func (r *Register) InProgress() []Evacuation {
	return r.list(func(e Evacuation) bool { return e.Evacuated })
}

// Records returns all that is known, for another instance.
func (r *Register) Records() []Record {
	var out []Record
	for _, e := range r.list(func(Evacuation) bool { return true }) {
		out = append(out, e.Record)
	}
	return out
}

func (r *Register) list(include func(Evacuation) bool) []Evacuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Evacuation
	for _, e := range r.records {
		if include(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Evacuation) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), a.position().Compare(b.position()))
	})
	return out
}
