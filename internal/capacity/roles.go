package capacity

import (
	"fmt"

	"github.com/pkg/errors"
)

// Assumptions about the target that section 1.6 leaves open.
const (
	// instancesPerDomain: one entry instance on each node, evenly over the domains.
	instancesPerDomain = (targetInstances + targetDomains - 1) / targetDomains
	// regionDomains is the number of domains of the largest of seven regions with 19.
	regionDomains   = (targetDomains + targetRegions - 1) / targetRegions
	regionInstances = regionDomains * instancesPerDomain
	// serversPerDomain: one engine on each server.
	serversPerDomain = (targetServers + targetDomains - 1) / targetDomains
	regionServers    = regionDomains * serversPerDomain
	// readersPerDomain watch the platform.
	readersPerDomain = 2
	// subsetSize is the number of engines of a model that an instance uses.
	subsetSize = 20
	// rackInstances is the number of instances that a rack or a switch takes down.
	rackInstances = 20
	// scrapeInterval is the time between readings of the metrics endpoint in seconds.
	scrapeInterval = 15.0
	// collectorFactor is the heap that the collector lets grow over the live one.
	collectorFactor = 2.0
)

// Figures that follow from the target.
const (
	instanceRequests = float64(targetRequests) / targetInstances
	instanceTokens   = float64(targetTokens) / targetInstances
	answerTokens     = float64(targetTokens) / targetRequests
	openStreams      = instanceRequests * (targetFirstToken + answerTokens*targetInterval)
	changeRate       = targetChanges / day
	// peerPollInterval and peerIdleTime are those of configsync and of transport/peer.
	peerPollInterval = 4.0
	peerIdleTime     = 60.0
	peerKeepAlive    = 1.0
	listInterval     = 0.5
	watchWait        = 3.0
	// announcementPeers are the random peers that an accepted revision is announced to:
	// three in the domain and one in each of two other domains of the region.
	announcementPeers = 5
	loadQueries       = float64(targetModels * subsetSize)
)

// Basis says where a figure comes from.
type Basis string

// Bases.
const (
	Measured    Basis = "slope"   // evaluated on a fitted line
	Derived     Basis = "derived" // follows from the rules and the target
	NotMeasured Basis = "**not measured**"
)

// Row is one part of a role. A negative figure is unknown.
type Row struct {
	Item, Mechanism, Working string
	Messages                 float64 // a second, both directions
	Bytes                    float64 // a second, both directions
	Core                     float64 // share of one core
	Memory                   float64 // bytes
	Basis                    Basis
	Apart                    bool // shown, but not part of the sum
}

// unknown marks a figure that was not measured.
const unknown = -1

// model evaluates series at sizes of the target.
type model struct {
	points *Points
	err    error
}

// at evaluates the line of a series. A line that is below zero there gives zero.
func (m *model) at(series string, size float64) float64 {
	s, ok := m.points.Get(series)
	if !ok {
		m.err = errors.Errorf("series %q has not been measured", series)
		return 0
	}
	return max(FitLine(s.Points).At(size), 0)
}

// lineSlope is the slope of the line itself, whatever its intercept.
func (m *model) lineSlope(series string) float64 {
	s, ok := m.points.Get(series)
	if !ok {
		m.err = errors.Errorf("series %q has not been measured", series)
		return 0
	}
	return max(FitLine(s.Points).Slope, 0)
}

// grid adds the slope over the members of a domain to the line over the domains, which
// was measured with 8 members each.
func (m *model) grid(quantity string, domains, members float64) float64 {
	const measuredMembers, linkLimit = 8, 5
	line := "_over_domains"
	if domains >= linkLimit {
		line = "_over_many_domains"
	}
	return m.at("membership."+quantity+line, domains) + m.lineSlope("membership."+quantity+"_over_members")*(members-measuredMembers)
}

// text evaluates a quantity of a configuration that grows with upstreams and teams.
func (m *model) text(quantity string, upstreams, teams float64) float64 {
	const measuredTeams = 10
	return m.at("config."+quantity, upstreams) + m.lineSlope("config."+quantity+"_teams")*(teams-measuredTeams)
}

// control lists the control traffic and work of one entry instance in the largest region.
func (m *model) control() []Row {
	connections := peerConnections(peerIdleTime)
	applyPools := targetModels * m.at("balancer.update", regionServers/targetModels)
	keepAlives := connections / peerKeepAlive
	return []Row{
		{Item: "failure detector and links", Mechanism: "SWIM probes, claims in probes, 2 links to each other domain",
			Working:  fmt.Sprintf("%d domains of %d members", regionDomains, instancesPerDomain),
			Messages: 2 * m.grid("messages", regionDomains, instancesPerDomain), Bytes: 2 * m.grid("bytes", regionDomains, instancesPerDomain),
			Core: m.grid("cpu", regionDomains, instancesPerDomain) / 1e6, Memory: m.at("membership.memory_over_members", regionInstances), Basis: Measured},
		{Item: "configuration: changes of upstreams", Mechanism: "announcement, pull of the changed section, parse of the whole text",
			Working:  fmt.Sprintf("%s changes/s × (parse %s ms + split + %d pools)", number(changeRate), number(m.text("parse", regionServers, targetTeams)/1e6), targetModels),
			Messages: 2 * changeRate * m.at("configsync.messages", regionInstances), Bytes: 2 * changeRate * m.at("configsync.change_bytes", regionServers),
			Core:   changeRate * (m.text("parse", regionServers, targetTeams) + m.at("config.split", regionServers) + applyPools) / 1e9,
			Memory: 3*m.text("bytes", regionServers, targetTeams) + m.text("held", regionServers, targetTeams), Basis: Measured},
		{Item: "configuration: if all changes were of teams", Mechanism: "the section with all teams is sent again",
			Working:  fmt.Sprintf("%s changes/s × 2 × %s kB", number(changeRate), number(m.teamsSection()/1e3)),
			Messages: unknown, Bytes: 2 * changeRate * m.teamsSection(), Core: unknown, Memory: unknown, Basis: Derived, Apart: true},
		{Item: "configuration: questions to peers", Mechanism: "one random peer every 4 s", Working: "1/4 call/s, asked and answered",
			Messages: 4 / peerPollInterval, Bytes: 2 * m.at("configsync.idle_bytes", regionServers), Core: m.lineSlope("peers.call_cpu") / peerPollInterval / 1e6, Basis: Measured},
		{Item: "list of leaving upstreams from readers", Mechanism: "2 readers of the domain, repeated every 2 s", Working: "2 × 1/2 message/s, 5 names",
			Messages: 2, Bytes: m.at("peers.leaving_bytes", 5), Core: m.lineSlope("peers.call_cpu") / 1e6, Basis: Measured},
		{Item: "peer connections", Mechanism: "one for each peer called in the last 60 s; a keep-alive and its answer every second",
			Working:  fmt.Sprintf("%.0f connections: 2 × (2 neighbours + 60 s × (%s × %d + 1/4))", connections, number(changeRate), announcementPeers),
			Messages: 2 * keepAlives, Bytes: keepAlives * m.keepAliveBytes(),
			Core: connections * m.lineSlope("peers.keep_alive_cpu") / 2 / 1e6, Memory: connections * m.lineSlope("peers.memory") / 2, Basis: Measured},
		{Item: "load queries and ticks of pools", Mechanism: "one query a second for each engine of each subset; 50 ticks a second",
			Working:  fmt.Sprintf("%d models × %d engines", targetModels, subsetSize),
			Messages: 2 * loadQueries, Bytes: loadQueries * m.at("platform.load_query_bytes", 1),
			Core: m.at("pools.cpu", targetModels) / 1e6, Memory: m.at("pools.memory", targetModels), Basis: Measured},
		{Item: "metrics endpoint", Mechanism: "counters by class and team, read every 15 s", Working: fmt.Sprintf("%d teams with one class each", targetTeams),
			Messages: 2 / scrapeInterval, Bytes: m.at("metrics.bytes", targetTeams) / scrapeInterval,
			Core: m.at("metrics.cpu", targetTeams) / 1e9 / scrapeInterval, Basis: Measured},
		{Item: "suspicions", Mechanism: "each instance with a request at a crashed engine tells all of the region",
			Working:  fmt.Sprintf("%s crashes of engines a day in the region, %.0f observers, %d messages each", number(regionCrashes()), observers(), regionInstances-1),
			Messages: 2 * suspicionRate(), Bytes: 2 * suspicionRate() * m.at("peers.suspicions_bytes", 5),
			Core: suspicionRate() * (m.lineSlope("peers.call_cpu") + m.lineSlope("peers.dial_cpu")) / 1e6, Memory: m.at("quarantine.memory", 4096), Basis: Derived},
		{Item: "estimates and queues of the scheduler", Mechanism: "sketches by class and team in each pool", Working: fmt.Sprintf("%d pools × %d teams, every team seen", targetModels, targetTeams),
			Memory: targetModels * m.at("scheduler.memory", targetTeams), Basis: Measured},
		{Item: "orders: ledger and witness at their bounds", Mechanism: "64 MB of answers, 100,000 outcomes, 65,536 witness records", Working: "bounds of the packages",
			Memory: 64e6 + m.at("orders.ledger_memory", 100_000) - 100_000*orderAnswerBytes + m.at("orders.witness_memory", 65_536), Basis: Measured},
	}
}

// peerConnections is the number of connections of an instance when unused ones are closed
// after the idle time: those to its two neighbours, to the random peers of announcements
// and questions, and as many from others.
func peerConnections(idle float64) float64 {
	return 2 * (2 + idle*(changeRate*announcementPeers+1/peerPollInterval))
}

// keepAliveBytes is a keep-alive, its answer and the acknowledgement of that.
func (m *model) keepAliveBytes() float64 {
	return 2*m.at("peers.keep_alive_bytes", 1) + packetBytes
}

// teamsSection is the size of the section that holds all teams.
func (m *model) teamsSection() float64 { return m.at("config.bytes_teams", targetTeams) }

// regionCrashes assumes that an engine crashes as often as an instance.
func regionCrashes() float64 {
	return float64(targetFailures) / targetInstances * regionServers
}

// observers of a crash are the instances with a request at the engine, at most one for
// each request and at most those that have it in their subset.
func observers() float64 {
	return min(openStreams*targetInstances/targetServers, loadQueries*regionInstances/regionServers)
}

// suspicionRate is the number of suspicion messages that an instance sends a second, on
// average over all instances and a day.
func suspicionRate() float64 {
	return regionCrashes() / day * observers() * (regionInstances - 1) / regionInstances
}

// reader lists what a reader of a failure domain does beside the work of an instance.
func (m *model) reader() []Row {
	return []Row{
		{Item: "configuration watch", Mechanism: "one waiting call of 3 s; the whole text on a change", Working: fmt.Sprintf("1/3 call/s, %s changes/s × %s kB", number(changeRate), number(m.text("bytes", regionServers, targetTeams)/1e3)),
			Messages: 2 / watchWait, Bytes: changeRate * m.text("bytes", regionServers, targetTeams), Core: unknown, Basis: Measured},
		{Item: "list of upstreams", Mechanism: "whole list every 500 ms", Working: fmt.Sprintf("2 calls/s × %d upstreams", regionServers),
			Messages: 2 / listInterval, Bytes: m.at("platform.list_bytes", regionServers) / listInterval,
			Core: m.at("platform.list_cpu", regionServers) / listInterval / 1e9, Basis: Measured},
		{Item: "leaving upstreams to the domain", Mechanism: "at once after a change, otherwise every 2 s", Working: fmt.Sprintf("1/2 × %d messages/s of 5 names", instancesPerDomain-1),
			Messages: instancesPerDomain - 1, Bytes: (instancesPerDomain - 1) / 2 * m.at("peers.leaving_bytes", 5),
			Core: (instancesPerDomain - 1) / 2 * m.lineSlope("peers.call_cpu") / 1e6, Memory: (instancesPerDomain - 1) * m.lineSlope("peers.memory") / 2, Basis: Measured},
		{Item: "keep-alives of these connections", Mechanism: "a keep-alive and its answer every second", Working: fmt.Sprintf("%d connections", instancesPerDomain-1),
			Messages: 2 * (instancesPerDomain - 1), Bytes: (instancesPerDomain - 1) * m.keepAliveBytes(),
			Core: (instancesPerDomain - 1) * m.lineSlope("peers.keep_alive_cpu") / 2 / 1e6, Basis: Measured},
	}
}
