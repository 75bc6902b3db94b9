package capacity

import "fmt"

// exceededLimitsTable lists the quantities that exceed a limit, each with a change that
// would bring it within the limit.
func (m *costModel) exceededLimitsTable() string {
	const kB = 1e3
	queryBytes := m.evaluate("platform.load_query_bytes", 1)
	parseSeconds := m.configCost("parse", regionServers, targetTeams) / 1e9
	sectionParseSeconds := (m.evaluate("config.parse", regionServers/targetModels) - m.evaluate("config.parse", 0)) / 1e9
	listBytesPerSecond := m.evaluate("platform.list_bytes", regionServers) / listIntervalSeconds
	var connections Row
	for _, r := range m.controlRows() {
		if r.Item == "peer connections" {
			connections = r
		}
	}
	schedulerBytes := targetModels * m.evaluate("scheduler.memory", targetTeams)
	bytesPerTeam := m.slope("metrics.bytes")
	notifySeconds := (regionInstances - 1) * (m.slope("peers.call_cpu") + m.slope("peers.dial_cpu")) / 1e6
	return markdownTable([]string{"row", "figure", "limit", "what would make it fit"}, [][]string{
		{"load queries, bytes", formatNumber(loadQueriesPerSecond*queryBytes/kB) + " kB/s", "23 kB/s for everything",
			fmt.Sprintf("engines put their load into the headers of answers; queries only for engines without an answer in the last second that have a request of this instance, at most 20 a second (%s kB/s)", formatNumber(20*queryBytes/kB))},
		{"load queries and ticks, processor time", formatNumber(m.evaluate("pools.cpu", targetModels)/1e4) + "% of a core", "1.7% for everything",
			"as above; ticking only pools with waiting requests gave no gain in a trial (32.2 and 35.6 ms/s)"},
		{"parsing of configurations", formatNumber(100*changesPerSecond*parseSeconds) + "% of a core", "1.7%",
			fmt.Sprintf("parse only the changed section, as the dissemination already sends only that: %s ms instead of %s ms, %s%% of a core", formatNumber(sectionParseSeconds*1e3), formatNumber(parseSeconds*1e3), formatNumber(100*changesPerSecond*sectionParseSeconds))},
		{"changes of teams, if all changes were of that kind", formatNumber(2*changesPerSecond*m.teamsSectionBytes()/kB) + " kB/s", "23 kB/s",
			fmt.Sprintf("cut the list of teams into sections of 64 items: %s kB/s", formatNumber(2*changesPerSecond*64*m.slope("config.bytes_teams")/kB))},
		{"one configuration for all regions", formatNumber(m.configCost("bytes", targetServers, targetTeams)/kB) + " kB", "1,000 kB for a value",
			"one deployment for each region, which the format demands anyway"},
		{"keep-alives of peer connections", formatNumber(connections.Bytes/kB) + " kB/s", "23 kB/s",
			fmt.Sprintf("close connections to random peers after 10 s instead of 60 s and send keep-alives only while a call waits: at most %s kB/s, and %s new connections a second, whose TLS handshakes are not measured", formatNumber(peerConnections(10)*m.keepAliveExchangeBytes()/kB), formatNumber(changesPerSecond*announcementPeers+1/peerPollSeconds))},
		{"list of upstreams at a reader", formatNumber(listBytesPerSecond/kB) + " kB/s", "23 kB/s",
			"a revision and 304 for an unchanged list, as the configuration has it; until then the two readers take turns"},
		{"estimates by team in every pool", formatNumber(schedulerBytes/1e6) + " MB, twice with the collector's headroom", "128 MB for everything",
			"one sketch for each class, and a mean for each team that was seen in the last hour"},
		{"orders at their bounds", formatNumber((64e6+m.evaluate("orders.witness_memory", 65_536))/1e6) + " MB, twice with the collector's headroom", "128 MB for everything",
			"16 MB of answers, which is the answers of 15 minutes at 70 orders a second of 256 B"},
		{"metrics with every class for every team", formatNumber(bytesPerTeam*targetTeams*targetTiers/scrapeIntervalSeconds/kB) + " kB/s", "23 kB/s",
			"compressed answers, or reading once a minute"},
		{"suspicions of one crash", fmt.Sprintf("%s s of processor time, both ends", formatNumber(notifySeconds)), "20 ms until the caller is answered",
			"tell the instances that have the engine in their subset, the others through the readers; only one observer of a crash tells"},
		{"suspicions beyond a region", fmt.Sprintf("%d peers", targetInstances-1), "512 open peers",
			"does not arise with one deployment for each region"},
	})
}
