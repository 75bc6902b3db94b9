package membership

import (
	"net/netip"
	"time"
)

// Limits of the protocol.
const (
	// MaxPressureBytes is the maximum size of a pressure value. Three values and the
	// records that carry them fit into one datagram.
	MaxPressureBytes = 200
	// MaxNameBytes is the maximum length of an instance or domain name.
	MaxNameBytes = 64
	// MaxUpdates is the maximum number of updates in one message.
	MaxUpdates = 16
	// MaxMessageBytes is the maximum size of an encoded message: a datagram of 1,200
	// bytes less 57 bytes of header and MAC.
	MaxMessageBytes = 1143
	// MaxMembers is the maximum number of entries in the member table, tombstones
	// included.
	MaxMembers = 4096
	// MaxCrossDomainPings is the maximum number of pings to members of other domains
	// in one probe period.
	MaxCrossDomainPings = 8
)

// Options configure a Machine. Zero durations select the defaults given below.
type Options struct {
	// Self is this instance's record of itself; its state is ignored.
	Self Member
	// Seeds are the UDP addresses that are contacted to join.
	Seeds []netip.AddrPort

	ProbePeriod        time.Duration // 1 s
	ProbeTimeout       time.Duration // 300 ms until indirect probes are sent
	SuspicionTimeout   time.Duration // 3 s from suspicion to death
	MaxTickGap         time.Duration // 2 s; a longer gap makes the view stale
	RefreshTimeout     time.Duration // 1 s; then the view counts as fresh without an answer
	UnreachableTimeout time.Duration // 5 s without an ack from a domain
	TombstoneRetention time.Duration // 1 h
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&o.ProbePeriod, time.Second)
	setDefault(&o.ProbeTimeout, 300*time.Millisecond)
	setDefault(&o.SuspicionTimeout, 3*time.Second)
	setDefault(&o.MaxTickGap, 2*time.Second)
	setDefault(&o.RefreshTimeout, time.Second)
	setDefault(&o.UnreachableTimeout, 5*time.Second)
	setDefault(&o.TombstoneRetention, time.Hour)
	o.Self.State = Alive
	o.Self.PressureAge = 0
	return o
}
