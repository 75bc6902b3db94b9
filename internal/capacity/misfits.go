package capacity

import "fmt"

// misfits lists what exceeds a limit, and what would make it fit.
func (m *model) misfits() string {
	const kB = 1e3
	queryBytes := m.at("platform.load_query_bytes", 1)
	parse := m.text("parse", regionServers, targetTeams) / 1e9
	section := (m.at("config.parse", regionServers/targetModels) - m.at("config.parse", 0)) / 1e9
	list := m.at("platform.list_bytes", regionServers) / listInterval
	var connections Row
	for _, r := range m.control() {
		if r.Item == "peer connections" {
			connections = r
		}
	}
	schedulers := targetModels * m.at("scheduler.memory", targetTeams)
	perTeam := m.lineSlope("metrics.bytes")
	burst := (regionInstances - 1) * (m.lineSlope("peers.call_cpu") + m.lineSlope("peers.dial_cpu")) / 1e6
	return markdown([]string{"row", "figure", "limit", "what would make it fit"}, [][]string{
		{"load queries, bytes", number(loadQueries*queryBytes/kB) + " kB/s", "23 kB/s for everything",
			fmt.Sprintf("engines put their load into the headers of answers; queries only for engines without an answer in the last second that have a request of this instance, at most 20 a second (%s kB/s)", number(20*queryBytes/kB))},
		{"load queries and ticks, processor time", number(m.at("pools.cpu", targetModels)/1e4) + "% of a core", "1.7% for everything",
			"as above; ticking only pools with waiting requests gave no gain in a trial (32.2 and 35.6 ms/s)"},
		{"parsing of configurations", number(100*changeRate*parse) + "% of a core", "1.7%",
			fmt.Sprintf("parse only the changed section, as the dissemination already sends only that: %s ms instead of %s ms, %s%% of a core", number(section*1e3), number(parse*1e3), number(100*changeRate*section))},
		{"changes of teams, if all changes were of that kind", number(2*changeRate*m.teamsSection()/kB) + " kB/s", "23 kB/s",
			fmt.Sprintf("cut the list of teams into sections of 64 items: %s kB/s", number(2*changeRate*64*m.lineSlope("config.bytes_teams")/kB))},
		{"one configuration for all regions", number(m.text("bytes", targetServers, targetTeams)/kB) + " kB", "1,000 kB for a value",
			"one deployment for each region, which the format demands anyway"},
		{"keep-alives of peer connections", number(connections.Bytes/kB) + " kB/s", "23 kB/s",
			fmt.Sprintf("close connections to random peers after 10 s instead of 60 s and send keep-alives only while a call waits: at most %s kB/s, and %s new connections a second, whose TLS handshakes are not measured", number(peerConnections(10)*m.keepAliveBytes()/kB), number(changeRate*announcementPeers+1/peerPollInterval))},
		{"list of upstreams at a reader", number(list/kB) + " kB/s", "23 kB/s",
			"a revision and 304 for an unchanged list, as the configuration has it; until then the two readers take turns"},
		{"estimates by team in every pool", number(schedulers/1e6) + " MB, twice with the collector's headroom", "128 MB for everything",
			"one sketch for each class, and a mean for each team that was seen in the last hour"},
		{"orders at their bounds", number((64e6+m.at("orders.witness_memory", 65_536))/1e6) + " MB, twice with the collector's headroom", "128 MB for everything",
			"16 MB of answers, which is the answers of 15 minutes at 70 orders a second of 256 B"},
		{"metrics with every class for every team", number(perTeam*targetTeams*targetTiers/scrapeInterval/kB) + " kB/s", "23 kB/s",
			"compressed answers, or reading once a minute"},
		{"suspicions of one crash", fmt.Sprintf("%s s of processor time, both ends", number(burst)), "20 ms until the caller is answered",
			"tell the instances that have the engine in their subset, the others through the readers; only one observer of a crash tells"},
		{"suspicions beyond a region", fmt.Sprintf("%d peers", targetInstances-1), "512 open peers",
			"does not arise with one deployment for each region"},
	})
}
