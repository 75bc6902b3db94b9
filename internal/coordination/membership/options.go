package membership

import (
	"net/netip"
	"time"
)

// Limits of the protocol.
const (
	// MaxPressure is the largest pressure value in bytes. Three of them and the
	// claims still fit into one datagram.
	MaxPressure = 200
	// MaxName is the largest length of an instance or domain name in bytes.
	MaxName = 64
	// MaxUpdates bounds the claims in one message.
	MaxUpdates = 16
	// MaxBody is the largest encoded message in bytes: a datagram of 1,200 bytes
	// less 57 bytes of header and MAC.
	MaxBody = 1143
	// MaxMembers bounds the table, tombstones included.
	MaxMembers = 4096
	// MaxLinks bounds the messages a second to members of other domains.
	MaxLinks = 8
)

// Options configure a Machine. Zero durations take the defaults.
type Options struct {
	// Self is the claim of this instance about itself; its state is ignored.
	Self Member
	// Seeds are UDP addresses to join through.
	Seeds []netip.AddrPort

	ProbePeriod    time.Duration // 1 s
	ProbeTimeout   time.Duration // 300 ms until indirect probes are sent
	SuspicionTime  time.Duration // 3 s from suspicion to death
	Lease          time.Duration // 2 s without a tick make the view stale
	RefreshTime    time.Duration // 1 s at most until the view counts as fresh again
	UnreachableAge time.Duration // 5 s without a message from a domain
	TombstoneTime  time.Duration // 1 h
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&o.ProbePeriod, time.Second)
	set(&o.ProbeTimeout, 300*time.Millisecond)
	set(&o.SuspicionTime, 3*time.Second)
	set(&o.Lease, 2*time.Second)
	set(&o.RefreshTime, time.Second)
	set(&o.UnreachableAge, 5*time.Second)
	set(&o.TombstoneTime, time.Hour)
	o.Self.State = Alive
	o.Self.PressureAge = 0
	return o
}
