package streamorigin

import (
	"sync"
	"time"
)

// VersionHistory records which software versions the upstreams of each service have had. It is safe for
// concurrent use.
type VersionHistory struct {
	mu            sync.Mutex
	started       bool
	observedSince time.Duration
	services      map[string]map[string]*observedVersion
}

type observedVersion struct {
	published bool // now
	lastSeen  time.Duration
}

// NewVersionHistory returns a history that has observed nothing. If firstStart is set, there have been no
// streams before, so what it observes from now on is all there was.
func NewVersionHistory(firstStart bool) *VersionHistory {
	h := &VersionHistory{services: map[string]map[string]*observedVersion{}}
	if firstStart {
		h.started, h.observedSince = true, -Lifetime
	}
	return h
}

// Observe records the versions that are published now, by service.
func (h *VersionHistory) Observe(now time.Duration, published map[string]map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.started {
		h.started, h.observedSince = true, now
	}
	for service, versions := range h.services {
		for version, v := range versions {
			switch {
			case published[service][version]:
			case v.published:
				v.published, v.lastSeen = false, now
			case now-v.lastSeen >= Lifetime:
				delete(versions, version)
			}
		}
	}
	for service, versions := range published {
		for version := range versions {
			h.version(service, version).published = true
		}
	}
}

// Seen records that an upstream of a version was published, though it may be gone by now.
func (h *VersionHistory) Seen(now time.Duration, service, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.version(service, version)
	v.lastSeen = max(v.lastSeen, now)
}

// Interrupted records that versions may have come and gone unseen until now.
func (h *VersionHistory) Interrupted(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started {
		h.observedSince = now
	}
}

// version returns the record of a version and creates it if necessary. The caller must hold mu.
func (h *VersionHistory) version(service, version string) *observedVersion {
	versions := h.services[service]
	if versions == nil {
		versions = map[string]*observedVersion{}
		h.services[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &observedVersion{}
	}
	return versions[version]
}

// Sole returns the only version that the service has had for a Lifetime. ok is false if there were
// several, or if the time observed is shorter.
func (h *VersionHistory) Sole(now time.Duration, service string) (sole string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.started || now-h.observedSince < Lifetime {
		return "", false
	}
	for version, v := range h.services[service] {
		if !v.published && now-v.lastSeen >= Lifetime {
			continue
		}
		if ok {
			return "", false
		}
		sole, ok = version, true
	}
	return sole, ok
}

// Observations is what an instance has observed, as sent to one that starts.
type Observations struct {
	// ObservedFor is how long the instance has observed the published versions until now; negative if it has
	// not.
	ObservedFor time.Duration
	Versions    []ObservedVersion
}

// ObservedVersion is a version of a service and the time since it was last published.
type ObservedVersion struct {
	Service, Version string
	Age              time.Duration
}

// Observations returns what has been observed within a Lifetime. current tells whether the observation
// lasts until now; otherwise it proves nothing about other versions.
func (h *VersionHistory) Observations(now time.Duration, current bool) Observations {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := Observations{ObservedFor: now - h.observedSince}
	if !h.started || !current {
		o.ObservedFor = -1
	}
	for service, versions := range h.services {
		for version, v := range versions {
			age := now - v.lastSeen
			if v.published {
				age = 0
			}
			if age < Lifetime {
				o.Versions = append(o.Versions, ObservedVersion{Service: service, Version: version, Age: age})
			}
		}
	}
	return o
}

// Merge adds what another instance has observed.
func (h *VersionHistory) Merge(now time.Duration, o Observations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, observed := range o.Versions {
		v := h.version(observed.Service, observed.Version)
		v.lastSeen = max(v.lastSeen, now-max(observed.Age, 0))
	}
	if o.ObservedFor < 0 {
		return
	}
	if since := now - o.ObservedFor; !h.started || since < h.observedSince {
		h.started, h.observedSince = true, since
	}
}
