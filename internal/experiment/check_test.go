package experiment

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// streamEvents returns the events that the engine stand-in sends for n tokens.
func streamEvents(id, echo string, n int) []emulator.ChatResponse {
	var events []emulator.ChatResponse
	for i := range n {
		events = append(events, emulator.ChatResponse{ID: id, Echo: echo, Token: &i,
			Choices: []emulator.ChatChoice{{Delta: &emulator.ChatDelta{Content: emulator.TokenText(id, i)}}}})
	}
	return append(events, emulator.ChatResponse{ID: id, Echo: echo, Checksum: emulator.Checksum(emulator.ResponseText(id, n))})
}

// Guards against corrupted responses that the checker misses or misclassifies, and against
// intact responses that it rejects.
func TestCheckerDetectsCorruptedResponses(t *testing.T) {
	cases := []struct {
		name   string
		events []emulator.ChatResponse
		want   ViolationKind
	}{
		{"intact", streamEvents("id", "tag", 4), ""},
		{"response to another request", streamEvents("id", "other", 4), ForeignResponse},
		{"lost token", slices.Delete(streamEvents("id", "tag", 4), 1, 2), WrongToken},
		{"repeated token", slices.Insert(streamEvents("id", "tag", 4), 1, streamEvents("id", "tag", 4)[0]), WrongToken},
		{"two generations", append(streamEvents("id", "tag", 4)[:2], streamEvents("id2", "tag", 4)[2:]...), MixedResponse},
		{"no final event", streamEvents("id", "tag", 4)[:4], Truncated},
		{"too short", streamEvents("id", "tag", 3), WrongLength},
		{"wrong final event", append(streamEvents("id", "tag", 4)[:4], streamEvents("id", "tag", 5)[5]), WrongChecksum},
	}
	for _, c := range cases {
		checker := responseChecker{tag: "tag", headerID: "id", wantTokens: 4}
		for i := range c.events {
			checker.checkEvent(&c.events[i])
		}
		checker.checkComplete()
		found := slices.ContainsFunc(checker.violations, func(v Violation) bool { return v.Kind == c.want })
		if found != (c.want != "") || c.want == "" && len(checker.violations) > 0 {
			t.Errorf("%s: found %v, want %q", c.name, checker.violations, c.want)
		}
	}
}

// Guards against order results that are accepted although the stand-ins counted different
// executions.
func TestOrderResultsAreComparedWithExecutions(t *testing.T) {
	executionsOf := func(order, ticket int) emulator.Executions {
		return emulator.Executions{Orders: map[string]int{"o": order}, Keys: map[string]int{"old": ticket}}
	}
	cases := []struct {
		name       string
		order      orderResult
		executions emulator.Executions
		want       ViolationKind
	}{
		{"ran once", orderResult{state: orderAnswered}, executionsOf(1, 0), ""},
		{"ran twice", orderResult{state: orderUnknown}, executionsOf(2, 0), RepeatedOrder},
		{"unknown", orderResult{state: orderUnknown}, executionsOf(0, 0), ""},
		{"answered but did not run", orderResult{state: orderAnswered}, executionsOf(0, 0), OrderNotExecuted},
		{"reported as not run but ran", orderResult{state: orderNotRun}, executionsOf(1, 0), RanAfterNotRun},
		{"replaced ticket ran", orderResult{state: orderUnknown, notRunTickets: []string{"old"}}, executionsOf(1, 1), RanAfterNotRun},
	}
	for _, c := range cases {
		c.order.orderID = "o"
		found := c.order.checkExecutions(c.executions)
		if (len(found) > 0) != (c.want != "") || len(found) > 0 && found[0].Kind != c.want {
			t.Errorf("%s: found %v, want %q", c.name, found, c.want)
		}
	}
}

func testScenario() *Scenario {
	s := &Scenario{Name: "s", Seed: 3, Duration: config.Duration(20 * time.Second), EntryAddresses: []string{"127.0.0.1:1"},
		Classes: []ClassLoad{{Class: "c", Model: "m", Rate: 20,
			Burst:  &Burst{Every: config.Duration(10 * time.Second), Length: config.Duration(time.Second), Factor: 10},
			Prompt: Lengths{Median: 50, Sigma: 0.5, Max: 500}, Output: Lengths{Median: 20, Sigma: 0.5, Max: 60},
			Teams: []TeamShare{{Team: "large", Share: 3}, {Team: "small", Share: 1}}}}}
	s.setDefaults()
	return s
}

// Guards against plans that differ for the same seed, which would prevent comparing two
// versions under the same load, and against rates, shares and lengths that do not follow
// the scenario.
func TestPlanMatchesSeedAndRates(t *testing.T) {
	s := testScenario()
	plan := Plan(s)
	if !slices.Equal(plan, Plan(s)) {
		t.Error("two plans with the same seed differ")
	}
	var burst, outside, large int
	for _, a := range plan {
		if a.At%(10*time.Second) < time.Second {
			burst++
		} else {
			outside++
		}
		if a.Team == 0 {
			large++
		}
		if a.OutputTokens < 1 || a.OutputTokens > 60 || a.PromptTokens < 1 || a.PromptTokens > 500 {
			t.Fatalf("prompt of %d and output of %d tokens are out of range", a.PromptTokens, a.OutputTokens)
		}
	}
	// Expected: 2 s at 200/s, 18 s at 20/s, three quarters from the large team. The
	// tolerance is five standard deviations; the seed is fixed.
	if burst < 300 || burst > 500 || outside < 265 || outside > 455 {
		t.Errorf("%d arrivals in bursts, %d outside", burst, outside)
	}
	if share := float64(large) / float64(len(plan)); share < 0.67 || share > 0.83 {
		t.Errorf("share of the large team %.2f", share)
	}
}

// Guards against invalid scenarios that are accepted, or whose error does not name the
// line and the field.
func TestParseScenarioErrorNamesLineAndField(t *testing.T) {
	const head = "name: s\nduration: 1s\ntargets: [127.0.0.1:1]\nclasses:\n  - class: c\n    model: m\n    rate: 1\n    prompt: {median: 1, max: 1}\n    output: {median: 1, max: 1}\n"
	cases := map[string]string{
		head + "    teams: [{team: t, share: 1}]\n":                     "",
		head + "    teams: [{team: t, share: 0}]\n":                     "line 10: classes[0].teams[0].share: ",
		head + "    teams: [{team: t, share: 1}]\n    order_share: 1\n": "line 11: classes[0].order_share: ",
		head + "    teams: [{team: t, share: 1}]\n    rates: 1\n":       "line 11: ",
	}
	for text, want := range cases {
		_, err := ParseScenario([]byte(text))
		if want == "" && err == nil {
			continue
		}
		if err == nil || want == "" || len(err.Error()) < len(want) || err.Error()[:len(want)] != want {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
