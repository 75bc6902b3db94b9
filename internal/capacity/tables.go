package capacity

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Report derives all tables from the points.
func Report(p *Points) (Tables, error) {
	m := &model{points: p}
	t := Tables{
		{"assumptions", assumptions()},
		{"instance", budgetTable(m.control(), true)},
		{"peak", m.peak()},
		{"latency", m.latency()},
		{"reader", budgetTable(m.reader(), false)},
		{"platform", m.platform()},
		{"engine", m.engine()},
		{"link", m.link()},
		{"layouts", m.layouts()},
		{"events", m.events()},
		{"misfits", m.misfits()},
		{"slopes", slopes(p)},
	}
	return t, m.err
}

func assumptions() string {
	return markdown([]string{"quantity", "whole target", "largest region", "one instance"}, [][]string{
		{"entry instances, one on each node", number(targetInstances), fmt.Sprintf("%d in %d domains of %d", regionInstances, regionDomains, instancesPerDomain), "1"},
		{"engines, one on each server", number(targetServers), number(regionServers), fmt.Sprintf("%.0f in %d subsets", loadQueries, targetModels)},
		{"requests a second", number(targetRequests), number(instanceRequests * regionInstances), number(instanceRequests)},
		{"tokens a second", number(targetTokens), number(instanceTokens * regionInstances), number(instanceTokens)},
		{"tokens of an answer", number(answerTokens), "", ""},
		{"open streams, 0.96 s and 53 ms a token", number(openStreams * targetInstances), number(openStreams * regionInstances), number(openStreams)},
		{"configuration changes a second", number(changeRate), number(changeRate), number(changeRate)},
		{"teams", number(targetTeams), number(targetTeams), number(targetTeams)},
	})
}

// budgetTable lays out rows with the sum and, where wanted, the budget and a verdict.
func budgetTable(rows []Row, judged bool) string {
	var cells [][]string
	sum := Row{Item: "**sum**"}
	add := func(total *float64, v float64) {
		if v > 0 {
			*total += v
		}
	}
	for _, r := range rows {
		cells = append(cells, cellsOf(r))
		if r.Apart {
			continue
		}
		add(&sum.Messages, r.Messages)
		add(&sum.Bytes, r.Bytes)
		add(&sum.Core, r.Core)
		add(&sum.Memory, r.Memory)
	}
	cells = append(cells, cellsOf(sum))
	if judged {
		grown := Row{Item: "sum with the collector's headroom", Working: fmt.Sprintf("live heap × %.0f", collectorFactor),
			Messages: sum.Messages, Bytes: sum.Bytes, Core: sum.Core, Memory: sum.Memory * collectorFactor}
		cells = append(cells, cellsOf(grown),
			[]string{"budget of a node", "", "", "", number(budgetBytes / 1e3), fmt.Sprintf("%.2f%%", 100*budgetCore), number(budgetMemory / 1e6), ""},
			[]string{"**verdict**", "", "", "", verdict(sum.Bytes, budgetBytes), verdict(sum.Core, budgetCore), verdict(grown.Memory, budgetMemory), ""})
	}
	return markdown([]string{"part", "mechanism", "working", "messages/s", "kB/s", "core", "MB", "basis"}, cells)
}

func cellsOf(r Row) []string {
	item := r.Item
	if r.Apart {
		item += " (not in the sum)"
	}
	return []string{item, r.Mechanism, r.Working, figure(r.Messages, 1, ""), figure(r.Bytes, 1e3, ""), figure(100*r.Core, 1, "%"), figure(r.Memory, 1e6, ""), string(r.Basis)}
}

// figure prints a value in a unit; zero is a dash and an unknown value a blank to fill.
func figure(v, unit float64, suffix string) string {
	switch {
	case v < 0:
		return "?"
	case v == 0:
		return "–"
	case v/unit < 0.01:
		return "< 0.01" + suffix
	}
	return number(v/unit) + suffix
}

func verdict(v, budget float64) string {
	if v <= budget {
		return fmt.Sprintf("fits (%.0f%%)", 100*v/budget)
	}
	return fmt.Sprintf("**%s× the budget**", number(v/budget))
}

// peak is the request path of one instance at the peak, and with a domain of the
// region lost.
func (m *model) peak() string {
	perToken, perRequest := m.lineSlope("request.cpu"), m.at("request.cpu", 0)
	lost := float64(regionDomains) / (regionDomains - 1)
	row := func(name, working string, v float64, unit string) []string {
		return []string{name, working, number(v) + unit, number(v*lost) + unit}
	}
	cpu := (instanceRequests*perRequest + instanceTokens*perToken) / 1e9
	decisions := instanceRequests * (m.at("scheduler.request", targetTeams) + m.at("balancer.request", regionServers/targetModels) + m.at("quarantine.request", 4096)) / 1e9
	return markdown([]string{"quantity of one instance", "working", "peak", "peak, one domain of three lost"}, [][]string{
		row("requests a second", "46,000 / 3,100", instanceRequests, ""),
		row("tokens a second", "17,000,000 / 3,100", instanceTokens, ""),
		row("open streams", "requests/s × answer time", openStreams, ""),
		row("cores for requests", fmt.Sprintf("requests × %s µs", number(perRequest/1e3)), instanceRequests*perRequest/1e9, ""),
		row("cores for tokens", fmt.Sprintf("tokens × %s µs", number(perToken/1e3)), instanceTokens*perToken/1e9, ""),
		row("cores in all", "", cpu, ""),
		row("of which decisions", "scheduler, balancer, quarantine, as a share of one core", 100*decisions, "%"),
		row("memory of open streams", fmt.Sprintf("%s kB each", number(m.lineSlope("streams.memory")/1e3)), openStreams*m.lineSlope("streams.memory")/1e6, " MB"),
		row("allocations a second", fmt.Sprintf("%s a request, %s a token", number(m.at("request.allocations", 0)), number(m.lineSlope("request.allocations"))),
			instanceRequests*m.at("request.allocations", 0)+instanceTokens*m.lineSlope("request.allocations"), ""),
		{"requests a second and core, answers of one token", "1 / cost", number(1e9 / (perRequest + perToken)), ""},
		{"tokens a second and core, long answers", "1 / cost", number(1e9 / perToken), ""},
	})
}

// latency compares the router with a direct call, point by point.
func (m *model) latency() string {
	var rows [][]string
	direct, _ := m.points.Get("latency.direct_p50")
	for i, p := range direct.Points {
		row := []string{number(p.Size)}
		for _, q := range []string{"p50", "p99"} {
			d, r := m.value("latency.direct_"+q, i), m.value("latency.router_"+q, i)
			row = append(row, number(d), number(r), number(r-d), number(r/d))
		}
		rows = append(rows, row)
	}
	return markdown([]string{"callers", "direct p50, µs", "router p50, µs", "added", "ratio", "direct p99, µs", "router p99, µs", "added", "ratio"}, rows)
}

// value is a point of a series as it was measured.
func (m *model) value(series string, i int) float64 {
	s, ok := m.points.Get(series)
	if !ok || i >= len(s.Points) {
		m.err = errors.Errorf("series %q has not been measured", series)
		return 0
	}
	return s.Points[i].Value
}

// platform is the load of all readers on the platform's service.
func (m *model) platform() string {
	readers := float64(targetDomains * readersPerDomain)
	measured := m.at("fleet.platform_calls", 40) / (2 * readersPerDomain) // two domains
	text := m.text("bytes", regionServers, targetTeams)
	list := m.at("platform.list_bytes", regionServers)
	parse := m.text("parse", regionServers, targetTeams) / 1e9
	// Four hops of at least five announcements reach a region; each takes three one-way
	// trips of 1.5 ms.
	const hops, hopTime = 4, 3 * 0.0015
	return markdown([]string{"quantity", "working", "value", "limit"}, [][]string{
		{"calls, measured on regions of 8 to 160 instances", fmt.Sprintf("%.0f readers × %s/s", readers, number(measured)), number(readers*measured) + "/s", number(platformCallRate) + "/s"},
		{"of which watches", fmt.Sprintf("%.0f readers × (1/3 + %s changes/s)", readers, number(changeRate)), number(readers*(1/watchWait+changeRate)) + "/s", ""},
		{"of which lists", fmt.Sprintf("%.0f readers × 2/s", readers), number(readers/listInterval) + "/s", ""},
		{"text of the largest region", fmt.Sprintf("%d upstreams, %d teams", regionServers, targetTeams), number(text/1e3) + " kB", "1,000 kB"},
		{"bytes of texts", fmt.Sprintf("%.0f readers × %s changes/s × text", readers, number(changeRate)), number(readers*changeRate*text/1e6) + " MB/s", "not given"},
		{"bytes of lists", fmt.Sprintf("%.0f readers × 2/s × %s kB", readers, number(list/1e3)), number(readers/listInterval*list/1e6) + " MB/s", "not given"},
		{"start of all instances, busiest second", "1,628 calls, docs/decisions/configuration.md", "1,628/s", number(platformCallRate) + "/s"},
		{"bytes of that start", fmt.Sprintf("%d texts", targetInstances), number(targetInstances*text/1e6) + " MB", "not given"},
		{"time until a change is in force", fmt.Sprintf("%d hops × (parse %s s + announcement and pull %s s)", hops, number(parse), number(hopTime)),
			number(hops*(parse+hopTime)) + " s", fmt.Sprintf("%d s", configBound)},
	})
}

// engine is the load of all instances on one engine's load endpoint.
func (m *model) engine() string {
	queries := loadQueries * regionInstances / regionServers
	return markdown([]string{"quantity of one engine", "working", "value"}, [][]string{
		{"instances that use it", fmt.Sprintf("%d × %.0f / %d", regionInstances, loadQueries, regionServers), number(queries)},
		{"load queries a second", "one from each of these", number(queries)},
		{"bytes a second", fmt.Sprintf("× %s B", number(m.at("platform.load_query_bytes", 1))), number(queries*m.at("platform.load_query_bytes", 1)/1e3) + " kB/s"},
		{"open connections for them", "one from each, shared with requests", number(queries)},
		{"requests in progress", fmt.Sprintf("%s streams × %d / %d", number(openStreams), targetInstances, targetServers), number(openStreams * targetInstances / targetServers)},
		{"its processor time for them", string(NotMeasured), "?"},
	})
}

// link is the control traffic from one failure domain to another one of its region.
func (m *model) link() string {
	const other = regionDomains - 1
	messages := (m.at("membership.messages_over_domains", regionDomains) - m.at("membership.messages_over_domains", 1)) / other
	bytes := (m.at("membership.bytes_over_domains", regionDomains) - m.at("membership.bytes_over_domains", 1)) / other
	polls := 0.5 / peerPollInterval / other
	pollBytes := m.at("configsync.idle_bytes", regionServers) / 2 / other
	// The size of an announcement, a number and a hash with its confirmation, is an
	// estimate. Each accepted change is announced to one member of every other domain.
	const announcementBytes = 250
	announced := changeRate
	return markdown([]string{"traffic in one direction", "working", "messages/s", "kB/s"}, [][]string{
		{"failure detector", fmt.Sprintf("%d members × %s/s", instancesPerDomain, number(messages)), number(instancesPerDomain * messages), number(instancesPerDomain * bytes / 1e3)},
		{"questions for revisions", fmt.Sprintf("%d members × %s/s", instancesPerDomain, number(polls)), number(instancesPerDomain * polls), number(instancesPerDomain * pollBytes / 1e3)},
		{"announcements", fmt.Sprintf("%d members × %s changes/s, 250 B estimated", instancesPerDomain, number(changeRate)), number(instancesPerDomain * announced), number(instancesPerDomain * announced * announcementBytes / 1e3)},
		{"suspicions", "average of a day", number(suspicionRate() * instancesPerDomain / regionDomains), number(suspicionRate() * instancesPerDomain / regionDomains * m.at("peers.suspicions_bytes", 5) / 1e3)},
		{"spilled requests and orders", string(NotMeasured), "?", "?"},
	})
}

// layouts compares one deployment for everything with one for each region.
func (m *model) layouts() string {
	row := func(name string, f func(instances, servers, domains float64) string) []string {
		return []string{name, f(targetInstances, targetServers, targetDomains), f(regionInstances, regionServers, regionDomains)}
	}
	return markdown([]string{"quantity", "one deployment of 19 domains", "one for each region (largest)"}, [][]string{
		row("text of the configuration, limit 1,000 kB", func(_, servers, _ float64) string {
			return number(m.text("bytes", servers, targetTeams)/1e3) + " kB"
		}),
		row("parse of one change", func(_, servers, _ float64) string {
			return number(m.text("parse", servers, targetTeams)/1e6) + " ms"
		}),
		row("allocated by one parse, not in the memory above", func(_, servers, _ float64) string {
			return number(m.text("allocated", servers, targetTeams)/1e6) + " MB"
		}),
		row("core for all changes", func(_, servers, _ float64) string {
			return number(100*changeRate*m.text("parse", servers, targetTeams)/1e9) + "%"
		}),
		row("failure detector, kB/s both ways", func(_, _, domains float64) string {
			return number(2 * m.grid("bytes", domains, instancesPerDomain) / 1e3)
		}),
		row("failure detector, core", func(_, _, domains float64) string {
			return number(100*m.grid("cpu", domains, instancesPerDomain)/1e6) + "%"
		}),
		row("membership memory", func(instances, _, _ float64) string {
			return number(m.at("membership.memory_over_members", instances)/1e6) + " MB"
		}),
		row("list of upstreams, kB/s of a reader", func(_, servers, _ float64) string {
			return number(m.at("platform.list_bytes", servers) / listInterval / 1e3)
		}),
		row("peers of a suspicion (limit of open peers 512)", func(instances, _, _ float64) string {
			return number(instances - 1)
		}),
	})
}

// events are the failures of the target scale.
func (m *model) events() string {
	const urgentMessages, urgentBytes = 50, 1200 + datagramBytes
	reach := observers()
	spread := (regionInstances - 1) * (m.lineSlope("peers.call_cpu") + m.lineSlope("peers.dial_cpu")) / 1e6
	return markdown([]string{"event", "effect", "cost"}, [][]string{
		{"failure of an instance, 170 a day", fmt.Sprintf("%s streams break", number(openStreams)), fmt.Sprintf("%s claims a day in a region; the others take %s%% more", number(float64(targetFailures)/targetRegions), number(100.0/(regionInstances-1)))},
		{"restart or replacement, 1,200 a day", "a planned stop cuts nothing", fmt.Sprintf("one in %.0f s of the whole, each %s kB of configuration and a view of %s kB",
			day/targetRestarts, number(m.text("bytes", regionServers, targetTeams)/1e3), number(m.at("membership.memory_over_members", regionInstances)/1e3))},
		{"crash of an engine", fmt.Sprintf("%.0f observers tell %d peers each", reach, regionInstances-1), fmt.Sprintf("%s messages in the region, %s s of processor time at each observer", number(reach*(regionInstances-1)), number(spread))},
		{fmt.Sprintf("loss of a rack (%d instances)", rackInstances), fmt.Sprintf("%s streams break", number(rackInstances*openStreams)), fmt.Sprintf("at most %d urgent datagrams/s of %d B, %s kB/s for a few seconds", urgentMessages, urgentBytes, number(urgentMessages*float64(urgentBytes)/1e3))},
		{"loss of a failure domain", fmt.Sprintf("%s streams break; %d members unreachable", number(instancesPerDomain*openStreams), instancesPerDomain), fmt.Sprintf("the other %d domains take %s times the load, see the peak", regionDomains-1, number(float64(regionDomains)/(regionDomains-1)))},
		{"an hour's cut between regions", "no control traffic crosses regions", fmt.Sprintf("a region cut off from the platform misses %s changes and catches up with one text", number(changeRate*3600))},
		{"restart of all instances", "all learned state is lost; orders in progress become unknown", fmt.Sprintf("1,628 calls in the busiest second; %s MB of texts", number(targetInstances*m.text("bytes", regionServers, targetTeams)/1e6))},
	})
}

// slopes lists every series with its line.
func slopes(p *Points) string {
	var rows [][]string
	for _, s := range p.Series {
		f := FitLine(s.Points)
		var values []string
		for _, x := range s.Points {
			values = append(values, number(x.Size)+": "+number(x.Value))
		}
		slope := number(f.Slope)
		if len(s.Points) < 2 {
			slope = "–"
		}
		rows = append(rows, []string{"`" + s.Name + "`", s.Size, s.Unit, strings.Join(values, "; "), slope, number(f.Intercept),
			fmt.Sprintf("%.0f%%", 100*f.RelativeResidual())})
	}
	return markdown([]string{"series", "over", "unit", "size: value", "slope", "intercept", "residual"}, rows)
}
