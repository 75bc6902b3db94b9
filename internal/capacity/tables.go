package capacity

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Report computes all tables from the points.
func Report(p *Points) (Tables, error) {
	m := &costModel{points: p}
	t := Tables{
		{"assumptions", assumptionsTable()},
		{"instance", budgetTable(m.controlRows(), true)},
		{"peak", m.peakTable()},
		{"latency", m.latencyTable()},
		{"reader", budgetTable(m.readerRows(), false)},
		{"platform", m.platformTable()},
		{"engine", m.engineTable()},
		{"link", m.domainTrafficTable()},
		{"layouts", m.deploymentLayoutTable()},
		{"events", m.failureTable()},
		{"misfits", m.exceededLimitsTable()},
		{"slopes", seriesTable(p)},
	}
	return t, m.err
}

func assumptionsTable() string {
	return markdownTable([]string{"quantity", "whole target", "largest region", "one instance"}, [][]string{
		{"entry instances, one on each node", formatNumber(targetInstances), fmt.Sprintf("%d in %d domains of %d", regionInstances, regionDomains, instancesPerDomain), "1"},
		{"engines, one on each server", formatNumber(targetServers), formatNumber(regionServers), fmt.Sprintf("%.0f in %d subsets", loadQueriesPerSecond, targetModels)},
		{"requests a second", formatNumber(targetRequestsPerSecond), formatNumber(instanceRequestsPerSecond * regionInstances), formatNumber(instanceRequestsPerSecond)},
		{"tokens a second", formatNumber(targetTokensPerSecond), formatNumber(instanceTokensPerSecond * regionInstances), formatNumber(instanceTokensPerSecond)},
		{"tokens of an answer", formatNumber(tokensPerResponse), "", ""},
		{"open streams, 0.96 s and 53 ms a token", formatNumber(openStreamsPerInstance * targetInstances), formatNumber(openStreamsPerInstance * regionInstances), formatNumber(openStreamsPerInstance)},
		{"configuration changes a second", formatNumber(changesPerSecond), formatNumber(changesPerSecond), formatNumber(changesPerSecond)},
		{"teams", formatNumber(targetTeams), formatNumber(targetTeams), formatNumber(targetTeams)},
	})
}

// budgetTable formats rows with their sum. With withBudget set, it adds the sum including
// garbage collector headroom, the budget of a node and whether the sums fit.
func budgetTable(rows []Row, withBudget bool) string {
	var cells [][]string
	sum := Row{Item: "**sum**"}
	add := func(total *float64, v float64) {
		if v > 0 {
			*total += v
		}
	}
	for _, r := range rows {
		cells = append(cells, formatRow(r))
		if r.ExcludedFromSum {
			continue
		}
		add(&sum.Messages, r.Messages)
		add(&sum.Bytes, r.Bytes)
		add(&sum.CoreShare, r.CoreShare)
		add(&sum.Memory, r.Memory)
	}
	cells = append(cells, formatRow(sum))
	if withBudget {
		withHeadroom := Row{Item: "sum with the collector's headroom", Calculation: fmt.Sprintf("live heap × %.0f", gcHeapFactor),
			Messages: sum.Messages, Bytes: sum.Bytes, CoreShare: sum.CoreShare, Memory: sum.Memory * gcHeapFactor}
		cells = append(cells, formatRow(withHeadroom),
			[]string{"budget of a node", "", "", "", formatNumber(budgetBytesPerSecond / 1e3), fmt.Sprintf("%.2f%%", 100*budgetCoreShare), formatNumber(budgetMemoryBytes / 1e6), ""},
			[]string{"**verdict**", "", "", "", budgetVerdict(sum.Bytes, budgetBytesPerSecond), budgetVerdict(sum.CoreShare, budgetCoreShare), budgetVerdict(withHeadroom.Memory, budgetMemoryBytes), ""})
	}
	return markdownTable([]string{"part", "mechanism", "working", "messages/s", "kB/s", "core", "MB", "basis"}, cells)
}

func formatRow(r Row) []string {
	item := r.Item
	if r.ExcludedFromSum {
		item += " (not in the sum)"
	}
	return []string{item, r.Mechanism, r.Calculation, formatValue(r.Messages, 1, ""), formatValue(r.Bytes, 1e3, ""), formatValue(100*r.CoreShare, 1, "%"), formatValue(r.Memory, 1e6, ""), string(r.Basis)}
}

// formatValue formats a value in a unit. Zero becomes a dash and an unknown value a question
// mark.
func formatValue(v, unit float64, suffix string) string {
	switch {
	case v < 0:
		return "?"
	case v == 0:
		return "–"
	case v/unit < 0.01:
		return "< 0.01" + suffix
	}
	return formatNumber(v/unit) + suffix
}

// budgetVerdict reports whether a value fits its budget.
func budgetVerdict(v, budget float64) string {
	if v <= budget {
		return fmt.Sprintf("fits (%.0f%%)", 100*v/budget)
	}
	return fmt.Sprintf("**%s× the budget**", formatNumber(v/budget))
}

// peakTable describes the request path of one instance at peak load, with all domains of
// the region and with one domain lost.
func (m *costModel) peakTable() string {
	nsPerToken, nsPerRequest := m.slope("request.cpu"), m.evaluate("request.cpu", 0)
	lossFactor := float64(regionDomains) / (regionDomains - 1)
	row := func(name, calculation string, v float64, unit string) []string {
		return []string{name, calculation, formatNumber(v) + unit, formatNumber(v*lossFactor) + unit}
	}
	cores := (instanceRequestsPerSecond*nsPerRequest + instanceTokensPerSecond*nsPerToken) / 1e9
	decisionCores := instanceRequestsPerSecond * (m.evaluate("scheduler.request", targetTeams) + m.evaluate("balancer.request", regionServers/targetModels) + m.evaluate("quarantine.request", 4096)) / 1e9
	return markdownTable([]string{"quantity of one instance", "working", "peak", "peak, one domain of three lost"}, [][]string{
		row("requests a second", "46,000 / 3,100", instanceRequestsPerSecond, ""),
		row("tokens a second", "17,000,000 / 3,100", instanceTokensPerSecond, ""),
		row("open streams", "requests/s × answer time", openStreamsPerInstance, ""),
		row("cores for requests", fmt.Sprintf("requests × %s µs", formatNumber(nsPerRequest/1e3)), instanceRequestsPerSecond*nsPerRequest/1e9, ""),
		row("cores for tokens", fmt.Sprintf("tokens × %s µs", formatNumber(nsPerToken/1e3)), instanceTokensPerSecond*nsPerToken/1e9, ""),
		row("cores in all", "", cores, ""),
		row("of which decisions", "scheduler, balancer, quarantine, as a share of one core", 100*decisionCores, "%"),
		row("memory of open streams", fmt.Sprintf("%s kB each", formatNumber(m.slope("streams.memory")/1e3)), openStreamsPerInstance*m.slope("streams.memory")/1e6, " MB"),
		row("allocations a second", fmt.Sprintf("%s a request, %s a token", formatNumber(m.evaluate("request.allocations", 0)), formatNumber(m.slope("request.allocations"))),
			instanceRequestsPerSecond*m.evaluate("request.allocations", 0)+instanceTokensPerSecond*m.slope("request.allocations"), ""),
		{"requests a second and core, answers of one token", "1 / cost", formatNumber(1e9 / (nsPerRequest + nsPerToken)), ""},
		{"tokens a second and core, long answers", "1 / cost", formatNumber(1e9 / nsPerToken), ""},
	})
}

// latencyTable compares the latency through the router with that of direct calls for each
// measured number of callers.
func (m *costModel) latencyTable() string {
	var rows [][]string
	direct, _ := m.points.Get("latency.direct_p50")
	for i, p := range direct.Points {
		row := []string{formatNumber(p.Size)}
		for _, q := range []string{"p50", "p99"} {
			d, r := m.pointValue("latency.direct_"+q, i), m.pointValue("latency.router_"+q, i)
			row = append(row, formatNumber(d), formatNumber(r), formatNumber(r-d), formatNumber(r/d))
		}
		rows = append(rows, row)
	}
	return markdownTable([]string{"callers", "direct p50, µs", "router p50, µs", "added", "ratio", "direct p99, µs", "router p99, µs", "added", "ratio"}, rows)
}

// pointValue returns the measured value of point i of a series.
func (m *costModel) pointValue(series string, i int) float64 {
	s, ok := m.points.Get(series)
	if !ok || i >= len(s.Points) {
		m.err = errors.Errorf("series %q has not been measured", series)
		return 0
	}
	return s.Points[i].Value
}

// platformTable describes the load of all readers on the platform.
func (m *costModel) platformTable() string {
	readers := float64(targetDomains * readersPerDomain)
	callsPerReader := m.evaluate("fleet.platform_calls", 40) / (2 * readersPerDomain) // the series was measured with two domains
	textBytes := m.configCost("bytes", regionServers, targetTeams)
	listBytes := m.evaluate("platform.list_bytes", regionServers)
	parseSeconds := m.configCost("parse", regionServers, targetTeams) / 1e9
	// With at least five announcements per instance, a change reaches the whole region in
	// four hops. Each hop takes three one-way trips of 1.5 ms.
	const hops, hopSeconds = 4, 3 * 0.0015
	return markdownTable([]string{"quantity", "working", "value", "limit"}, [][]string{
		{"calls, measured on regions of 8 to 160 instances", fmt.Sprintf("%.0f readers × %s/s", readers, formatNumber(callsPerReader)), formatNumber(readers*callsPerReader) + "/s", formatNumber(platformCallLimit) + "/s"},
		{"of which watches", fmt.Sprintf("%.0f readers × (1/3 + %s changes/s)", readers, formatNumber(changesPerSecond)), formatNumber(readers*(1/watchWaitSeconds+changesPerSecond)) + "/s", ""},
		{"of which lists", fmt.Sprintf("%.0f readers × 2/s", readers), formatNumber(readers/listIntervalSeconds) + "/s", ""},
		{"text of the largest region", fmt.Sprintf("%d upstreams, %d teams", regionServers, targetTeams), formatNumber(textBytes/1e3) + " kB", "1,000 kB"},
		{"bytes of texts", fmt.Sprintf("%.0f readers × %s changes/s × text", readers, formatNumber(changesPerSecond)), formatNumber(readers*changesPerSecond*textBytes/1e6) + " MB/s", "not given"},
		{"bytes of lists", fmt.Sprintf("%.0f readers × 2/s × %s kB", readers, formatNumber(listBytes/1e3)), formatNumber(readers/listIntervalSeconds*listBytes/1e6) + " MB/s", "not given"},
		{"start of all instances, busiest second", "1,628 calls, docs/decisions/configuration.md", "1,628/s", formatNumber(platformCallLimit) + "/s"},
		{"bytes of that start", fmt.Sprintf("%d texts", targetInstances), formatNumber(targetInstances*textBytes/1e6) + " MB", "not given"},
		{"time until a change is in force", fmt.Sprintf("%d hops × (parse %s s + announcement and pull %s s)", hops, formatNumber(parseSeconds), formatNumber(hopSeconds)),
			formatNumber(hops*(parseSeconds+hopSeconds)) + " s", fmt.Sprintf("%d s", configDelayLimitSeconds)},
	})
}

// engineTable describes the load of all instances on the load endpoint of one engine.
func (m *costModel) engineTable() string {
	queries := loadQueriesPerSecond * regionInstances / regionServers
	return markdownTable([]string{"quantity of one engine", "working", "value"}, [][]string{
		{"instances that use it", fmt.Sprintf("%d × %.0f / %d", regionInstances, loadQueriesPerSecond, regionServers), formatNumber(queries)},
		{"load queries a second", "one from each of these", formatNumber(queries)},
		{"bytes a second", fmt.Sprintf("× %s B", formatNumber(m.evaluate("platform.load_query_bytes", 1))), formatNumber(queries*m.evaluate("platform.load_query_bytes", 1)/1e3) + " kB/s"},
		{"open connections for them", "one from each, shared with requests", formatNumber(queries)},
		{"requests in progress", fmt.Sprintf("%s streams × %d / %d", formatNumber(openStreamsPerInstance), targetInstances, targetServers), formatNumber(openStreamsPerInstance * targetInstances / targetServers)},
		{"its processor time for them", string(NotMeasured), "?"},
	})
}

// domainTrafficTable describes the control traffic from one failure domain to another one
// of the same region.
func (m *costModel) domainTrafficTable() string {
	const otherDomains = regionDomains - 1
	messages := (m.evaluate("membership.messages_over_domains", regionDomains) - m.evaluate("membership.messages_over_domains", 1)) / otherDomains
	bytes := (m.evaluate("membership.bytes_over_domains", regionDomains) - m.evaluate("membership.bytes_over_domains", 1)) / otherDomains
	polls := 0.5 / peerPollSeconds / otherDomains
	pollBytes := m.evaluate("configsync.idle_bytes", regionServers) / 2 / otherDomains
	// The size of an announcement is an estimate: a revision number, a hash and the
	// confirmation. Each instance announces an accepted change to one member of every other
	// domain.
	const announcementBytes = 250
	announcements := changesPerSecond
	return markdownTable([]string{"traffic in one direction", "working", "messages/s", "kB/s"}, [][]string{
		{"failure detector", fmt.Sprintf("%d members × %s/s", instancesPerDomain, formatNumber(messages)), formatNumber(instancesPerDomain * messages), formatNumber(instancesPerDomain * bytes / 1e3)},
		{"questions for revisions", fmt.Sprintf("%d members × %s/s", instancesPerDomain, formatNumber(polls)), formatNumber(instancesPerDomain * polls), formatNumber(instancesPerDomain * pollBytes / 1e3)},
		{"announcements", fmt.Sprintf("%d members × %s changes/s, 250 B estimated", instancesPerDomain, formatNumber(changesPerSecond)), formatNumber(instancesPerDomain * announcements), formatNumber(instancesPerDomain * announcements * announcementBytes / 1e3)},
		{"suspicions", "average of a day", formatNumber(suspicionMessagesPerSecond() * instancesPerDomain / regionDomains), formatNumber(suspicionMessagesPerSecond() * instancesPerDomain / regionDomains * m.evaluate("peers.suspicions_bytes", 5) / 1e3)},
		{"spilled requests and orders", string(NotMeasured), "?", "?"},
	})
}

// deploymentLayoutTable compares one deployment for all regions with one deployment per
// region.
func (m *costModel) deploymentLayoutTable() string {
	row := func(name string, f func(instances, servers, domains float64) string) []string {
		return []string{name, f(targetInstances, targetServers, targetDomains), f(regionInstances, regionServers, regionDomains)}
	}
	return markdownTable([]string{"quantity", "one deployment of 19 domains", "one for each region (largest)"}, [][]string{
		row("text of the configuration, limit 1,000 kB", func(_, servers, _ float64) string {
			return formatNumber(m.configCost("bytes", servers, targetTeams)/1e3) + " kB"
		}),
		row("parse of one change", func(_, servers, _ float64) string {
			return formatNumber(m.configCost("parse", servers, targetTeams)/1e6) + " ms"
		}),
		row("allocated by one parse, not in the memory above", func(_, servers, _ float64) string {
			return formatNumber(m.configCost("allocated", servers, targetTeams)/1e6) + " MB"
		}),
		row("core for all changes", func(_, servers, _ float64) string {
			return formatNumber(100*changesPerSecond*m.configCost("parse", servers, targetTeams)/1e9) + "%"
		}),
		row("failure detector, kB/s both ways", func(_, _, domains float64) string {
			return formatNumber(2 * m.membershipCost("bytes", domains, instancesPerDomain) / 1e3)
		}),
		row("failure detector, core", func(_, _, domains float64) string {
			return formatNumber(100*m.membershipCost("cpu", domains, instancesPerDomain)/1e6) + "%"
		}),
		row("membership memory", func(instances, _, _ float64) string {
			return formatNumber(m.evaluate("membership.memory_over_members", instances)/1e6) + " MB"
		}),
		row("list of upstreams, kB/s of a reader", func(_, servers, _ float64) string {
			return formatNumber(m.evaluate("platform.list_bytes", servers) / listIntervalSeconds / 1e3)
		}),
		row("peers of a suspicion (limit of open peers 512)", func(instances, _, _ float64) string {
			return formatNumber(instances - 1)
		}),
	})
}

// failureTable lists the effect and the cost of failures and restarts at the target scale.
func (m *costModel) failureTable() string {
	const urgentMessages, urgentBytes = 50, 1200 + udpHeaderBytes
	observers := crashObservers()
	notifySeconds := (regionInstances - 1) * (m.slope("peers.call_cpu") + m.slope("peers.dial_cpu")) / 1e6
	return markdownTable([]string{"event", "effect", "cost"}, [][]string{
		{"failure of an instance, 170 a day", fmt.Sprintf("%s streams break", formatNumber(openStreamsPerInstance)), fmt.Sprintf("%s claims a day in a region; the others take %s%% more", formatNumber(float64(targetFailuresPerDay)/targetRegions), formatNumber(100.0/(regionInstances-1)))},
		{"restart or replacement, 1,200 a day", "a planned stop cuts nothing", fmt.Sprintf("one in %.0f s of the whole, each %s kB of configuration and a view of %s kB",
			secondsPerDay/targetRestartsPerDay, formatNumber(m.configCost("bytes", regionServers, targetTeams)/1e3), formatNumber(m.evaluate("membership.memory_over_members", regionInstances)/1e3))},
		{"crash of an engine", fmt.Sprintf("%.0f observers tell %d peers each", observers, regionInstances-1), fmt.Sprintf("%s messages in the region, %s s of processor time at each observer", formatNumber(observers*(regionInstances-1)), formatNumber(notifySeconds))},
		{fmt.Sprintf("loss of a rack (%d instances)", rackInstances), fmt.Sprintf("%s streams break", formatNumber(rackInstances*openStreamsPerInstance)), fmt.Sprintf("at most %d urgent datagrams/s of %d B, %s kB/s for a few seconds", urgentMessages, urgentBytes, formatNumber(urgentMessages*float64(urgentBytes)/1e3))},
		{"loss of a failure domain", fmt.Sprintf("%s streams break; %d members unreachable", formatNumber(instancesPerDomain*openStreamsPerInstance), instancesPerDomain), fmt.Sprintf("the other %d domains take %s times the load, see the peak", regionDomains-1, formatNumber(float64(regionDomains)/(regionDomains-1)))},
		{"an hour's cut between regions", "no control traffic crosses regions", fmt.Sprintf("a region cut off from the platform misses %s changes and catches up with one text", formatNumber(changesPerSecond*3600))},
		{"restart of all instances", "all learned state is lost; orders in progress become unknown", fmt.Sprintf("1,628 calls in the busiest second; %s MB of texts", formatNumber(targetInstances*m.configCost("bytes", regionServers, targetTeams)/1e6))},
	})
}

// seriesTable lists every series with its fitted line.
func seriesTable(p *Points) string {
	var rows [][]string
	for _, s := range p.Series {
		f := FitLine(s.Points)
		var values []string
		for _, x := range s.Points {
			values = append(values, formatNumber(x.Size)+": "+formatNumber(x.Value))
		}
		slope := formatNumber(f.Slope)
		if len(s.Points) < 2 {
			slope = "–"
		}
		rows = append(rows, []string{"`" + s.Name + "`", s.Size, s.Unit, strings.Join(values, "; "), slope, formatNumber(f.Intercept),
			fmt.Sprintf("%.0f%%", 100*f.RelativeResidual())})
	}
	return markdownTable([]string{"series", "over", "unit", "size: value", "slope", "intercept", "residual"}, rows)
}
