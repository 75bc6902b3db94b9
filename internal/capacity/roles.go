package capacity

import (
	"fmt"

	"github.com/pkg/errors"
)

// Assumptions about the target scale where section 1.6 of docs/design.md leaves it open.
const (
	// instancesPerDomain assumes one entry instance per node, spread evenly over the domains.
	instancesPerDomain = (targetInstances + targetDomains - 1) / targetDomains
	// regionDomains is the number of domains in the largest region when the 19 domains are
	// spread over seven regions.
	regionDomains   = (targetDomains + targetRegions - 1) / targetRegions
	regionInstances = regionDomains * instancesPerDomain
	// serversPerDomain assumes one engine per server.
	serversPerDomain = (targetServers + targetDomains - 1) / targetDomains
	regionServers    = regionDomains * serversPerDomain
	// readersPerDomain is the number of instances per domain that read from the platform.
	readersPerDomain = 2
	// subsetSize is the number of engines that an instance uses for each model.
	subsetSize = 20
	// rackInstances is the number of instances lost with a rack or a switch.
	rackInstances = 20
	// scrapeIntervalSeconds is the time between scrapes of the metrics endpoint.
	scrapeIntervalSeconds = 15.0
	// gcHeapFactor is the ratio of the heap before a garbage collection to the live heap.
	gcHeapFactor = 2.0
)

// Figures derived from the target scale.
const (
	instanceRequestsPerSecond = float64(targetRequestsPerSecond) / targetInstances
	instanceTokensPerSecond   = float64(targetTokensPerSecond) / targetInstances
	tokensPerResponse         = float64(targetTokensPerSecond) / targetRequestsPerSecond
	openStreamsPerInstance    = instanceRequestsPerSecond * (targetFirstTokenSeconds + tokensPerResponse*targetTokenIntervalSeconds)
	changesPerSecond          = targetChangesPerDay / secondsPerDay
	// peerPollSeconds is the poll interval of configsync. peerIdleSeconds is the idle timeout
	// of transport/peer.
	peerPollSeconds      = 4.0
	peerIdleSeconds      = 60.0
	peerKeepAliveSeconds = 1.0
	listIntervalSeconds  = 0.5
	watchWaitSeconds     = 3.0
	// announcementPeers is the number of random peers to which an instance announces an
	// accepted revision: three in its domain and one in each of two other domains of the
	// region.
	announcementPeers    = 5
	loadQueriesPerSecond = float64(targetModels * subsetSize)
)

// Basis is the origin of a figure.
type Basis string

// Values of Basis.
const (
	Measured    Basis = "slope"   // evaluated from the fitted line of a series
	Derived     Basis = "derived" // calculated from the protocol rules and the target scale
	NotMeasured Basis = "**not measured**"
)

// Row is one part of the resource use of a role. A negative figure is unknown.
type Row struct {
	Item, Mechanism, Calculation string
	Messages                     float64 // per second, both directions
	Bytes                        float64 // per second, both directions
	CoreShare                    float64 // fraction of one core
	Memory                       float64 // bytes
	Basis                        Basis
	ExcludedFromSum              bool // listed, but not added to the sum
}

// unknown marks a figure that was not measured.
const unknown = -1

// costModel extrapolates the measured series to the target scale. err is the last missing
// series.
type costModel struct {
	points *Points
	err    error
}

// evaluate returns the value of the fitted line of a series at a size, but at least zero.
func (m *costModel) evaluate(series string, size float64) float64 {
	s, ok := m.points.Get(series)
	if !ok {
		m.err = errors.Errorf("series %q has not been measured", series)
		return 0
	}
	return max(FitLine(s.Points).At(size), 0)
}

// slope returns the slope of the fitted line of a series, but at least zero.
func (m *costModel) slope(series string) float64 {
	s, ok := m.points.Get(series)
	if !ok {
		m.err = errors.Errorf("series %q has not been measured", series)
		return 0
	}
	return max(FitLine(s.Points).Slope, 0)
}

// membershipCost extrapolates a quantity of the failure detector. It takes the line over
// the number of domains, which was measured with 8 members per domain, and adds the slope
// over the members of a domain for the remaining members.
func (m *costModel) membershipCost(quantity string, domains, members float64) float64 {
	const measuredMembers, domainsAtPingLimit = 8, 5
	seriesSuffix := "_over_domains"
	if domains >= domainsAtPingLimit {
		seriesSuffix = "_over_many_domains"
	}
	return m.evaluate("membership."+quantity+seriesSuffix, domains) + m.slope("membership."+quantity+"_over_members")*(members-measuredMembers)
}

// configCost extrapolates a quantity of the configuration that grows with the numbers of
// upstreams and teams.
func (m *costModel) configCost(quantity string, upstreams, teams float64) float64 {
	const measuredTeams = 10
	return m.evaluate("config."+quantity, upstreams) + m.slope("config."+quantity+"_teams")*(teams-measuredTeams)
}

// controlRows returns the control traffic and work of one entry instance in the largest
// region.
func (m *costModel) controlRows() []Row {
	connections := peerConnections(peerIdleSeconds)
	applyPools := targetModels * m.evaluate("balancer.update", regionServers/targetModels)
	keepAlives := connections / peerKeepAliveSeconds
	return []Row{
		{Item: "failure detector and links", Mechanism: "SWIM probes, claims in probes, 2 links to each other domain",
			Calculation: fmt.Sprintf("%d domains of %d members", regionDomains, instancesPerDomain),
			Messages:    2 * m.membershipCost("messages", regionDomains, instancesPerDomain), Bytes: 2 * m.membershipCost("bytes", regionDomains, instancesPerDomain),
			CoreShare: m.membershipCost("cpu", regionDomains, instancesPerDomain) / 1e6, Memory: m.evaluate("membership.memory_over_members", regionInstances), Basis: Measured},
		{Item: "configuration: changes of upstreams", Mechanism: "announcement, pull of the changed section, parse of the whole text",
			Calculation: fmt.Sprintf("%s changes/s × (parse %s ms + split + %d pools)", formatNumber(changesPerSecond), formatNumber(m.configCost("parse", regionServers, targetTeams)/1e6), targetModels),
			Messages:    2 * changesPerSecond * m.evaluate("configsync.messages", regionInstances), Bytes: 2 * changesPerSecond * m.evaluate("configsync.change_bytes", regionServers),
			CoreShare: changesPerSecond * (m.configCost("parse", regionServers, targetTeams) + m.evaluate("config.split", regionServers) + applyPools) / 1e9,
			Memory:    3*m.configCost("bytes", regionServers, targetTeams) + m.configCost("held", regionServers, targetTeams), Basis: Measured},
		{Item: "configuration: if all changes were of teams", Mechanism: "the section with all teams is sent again",
			Calculation: fmt.Sprintf("%s changes/s × 2 × %s kB", formatNumber(changesPerSecond), formatNumber(m.teamsSectionBytes()/1e3)),
			Messages:    unknown, Bytes: 2 * changesPerSecond * m.teamsSectionBytes(), CoreShare: unknown, Memory: unknown, Basis: Derived, ExcludedFromSum: true},
		{Item: "configuration: questions to peers", Mechanism: "one random peer every 4 s", Calculation: "1/4 call/s, asked and answered",
			Messages: 4 / peerPollSeconds, Bytes: 2 * m.evaluate("configsync.idle_bytes", regionServers), CoreShare: m.slope("peers.call_cpu") / peerPollSeconds / 1e6, Basis: Measured},
		{Item: "list of leaving upstreams from readers", Mechanism: "2 readers of the domain, repeated every 2 s", Calculation: "2 × 1/2 message/s, 5 names",
			Messages: 2, Bytes: m.evaluate("peers.leaving_bytes", 5), CoreShare: m.slope("peers.call_cpu") / 1e6, Basis: Measured},
		{Item: "peer connections", Mechanism: "one for each peer called in the last 60 s; a keep-alive and its answer every second",
			Calculation: fmt.Sprintf("%.0f connections: 2 × (2 neighbours + 60 s × (%s × %d + 1/4))", connections, formatNumber(changesPerSecond), announcementPeers),
			Messages:    2 * keepAlives, Bytes: keepAlives * m.keepAliveExchangeBytes(),
			CoreShare: connections * m.slope("peers.keep_alive_cpu") / 2 / 1e6, Memory: connections * m.slope("peers.memory") / 2, Basis: Measured},
		{Item: "load queries and ticks of pools", Mechanism: "one query a second for each engine of each subset; 50 ticks a second",
			Calculation: fmt.Sprintf("%d models × %d engines", targetModels, subsetSize),
			Messages:    2 * loadQueriesPerSecond, Bytes: loadQueriesPerSecond * m.evaluate("platform.load_query_bytes", 1),
			CoreShare: m.evaluate("pools.cpu", targetModels) / 1e6, Memory: m.evaluate("pools.memory", targetModels), Basis: Measured},
		{Item: "metrics endpoint", Mechanism: "counters by class and team, read every 15 s", Calculation: fmt.Sprintf("%d teams with one class each", targetTeams),
			Messages: 2 / scrapeIntervalSeconds, Bytes: m.evaluate("metrics.bytes", targetTeams) / scrapeIntervalSeconds,
			CoreShare: m.evaluate("metrics.cpu", targetTeams) / 1e9 / scrapeIntervalSeconds, Basis: Measured},
		{Item: "suspicions", Mechanism: "each instance with a request at a crashed engine tells all of the region",
			Calculation: fmt.Sprintf("%s crashes of engines a day in the region, %.0f observers, %d messages each", formatNumber(regionCrashesPerDay()), crashObservers(), regionInstances-1),
			Messages:    2 * suspicionMessagesPerSecond(), Bytes: 2 * suspicionMessagesPerSecond() * m.evaluate("peers.suspicions_bytes", 5),
			CoreShare: suspicionMessagesPerSecond() * (m.slope("peers.call_cpu") + m.slope("peers.dial_cpu")) / 1e6, Memory: m.evaluate("quarantine.memory", 4096), Basis: Derived},
		{Item: "estimates and queues of the scheduler", Mechanism: "sketches by class and team in each pool", Calculation: fmt.Sprintf("%d pools × %d teams, every team seen", targetModels, targetTeams),
			Memory: targetModels * m.evaluate("scheduler.memory", targetTeams), Basis: Measured},
		{Item: "orders: ledger and witness at their bounds", Mechanism: "64 MB of answers, 100,000 outcomes, 65,536 witness records", Calculation: "bounds of the packages",
			Memory: 64e6 + m.evaluate("orders.ledger_memory", 100_000) - 100_000*orderResponseBytes + m.evaluate("orders.witness_memory", 65_536), Basis: Measured},
	}
}

// peerConnections returns the number of peer connections of an instance if unused ones are
// closed after the idle timeout. The instance dials its two neighbours and random peers for
// announcements and revision queries, and as many connections come in from other instances.
func peerConnections(idleSeconds float64) float64 {
	return 2 * (2 + idleSeconds*(changesPerSecond*announcementPeers+1/peerPollSeconds))
}

// keepAliveExchangeBytes returns the bytes of a keep-alive, the reply to it and the TCP
// acknowledgement of the reply.
func (m *costModel) keepAliveExchangeBytes() float64 {
	return 2*m.evaluate("peers.keep_alive_bytes", 1) + tcpHeaderBytes
}

// teamsSectionBytes returns the size of the configuration section with all teams.
func (m *costModel) teamsSectionBytes() float64 { return m.evaluate("config.bytes_teams", targetTeams) }

// regionCrashesPerDay estimates the engine crashes in the largest region, assuming that an
// engine crashes as often as an instance.
func regionCrashesPerDay() float64 {
	return float64(targetFailuresPerDay) / targetInstances * regionServers
}

// crashObservers returns the number of instances that have a request at a crashing engine:
// at most one per request in progress and at most the instances that have the engine in
// their subset.
func crashObservers() float64 {
	return min(openStreamsPerInstance*targetInstances/targetServers, loadQueriesPerSecond*regionInstances/regionServers)
}

// suspicionMessagesPerSecond returns the rate at which an instance sends suspicion messages,
// averaged over all instances and a day.
func suspicionMessagesPerSecond() float64 {
	return regionCrashesPerDay() / secondsPerDay * crashObservers() * (regionInstances - 1) / regionInstances
}

// readerRows returns the traffic and work of a platform reader in addition to that of every
// instance.
func (m *costModel) readerRows() []Row {
	return []Row{
		{Item: "configuration watch", Mechanism: "one waiting call of 3 s; the whole text on a change", Calculation: fmt.Sprintf("1/3 call/s, %s changes/s × %s kB", formatNumber(changesPerSecond), formatNumber(m.configCost("bytes", regionServers, targetTeams)/1e3)),
			Messages: 2 / watchWaitSeconds, Bytes: changesPerSecond * m.configCost("bytes", regionServers, targetTeams), CoreShare: unknown, Basis: Measured},
		{Item: "list of upstreams", Mechanism: "whole list every 500 ms", Calculation: fmt.Sprintf("2 calls/s × %d upstreams", regionServers),
			Messages: 2 / listIntervalSeconds, Bytes: m.evaluate("platform.list_bytes", regionServers) / listIntervalSeconds,
			CoreShare: m.evaluate("platform.list_cpu", regionServers) / listIntervalSeconds / 1e9, Basis: Measured},
		{Item: "leaving upstreams to the domain", Mechanism: "at once after a change, otherwise every 2 s", Calculation: fmt.Sprintf("1/2 × %d messages/s of 5 names", instancesPerDomain-1),
			Messages: instancesPerDomain - 1, Bytes: (instancesPerDomain - 1) / 2 * m.evaluate("peers.leaving_bytes", 5),
			CoreShare: (instancesPerDomain - 1) / 2 * m.slope("peers.call_cpu") / 1e6, Memory: (instancesPerDomain - 1) * m.slope("peers.memory") / 2, Basis: Measured},
		{Item: "keep-alives of these connections", Mechanism: "a keep-alive and its answer every second", Calculation: fmt.Sprintf("%d connections", instancesPerDomain-1),
			Messages: 2 * (instancesPerDomain - 1), Bytes: (instancesPerDomain - 1) * m.keepAliveExchangeBytes(),
			CoreShare: (instancesPerDomain - 1) * m.slope("peers.keep_alive_cpu") / 2 / 1e6, Basis: Measured},
	}
}
