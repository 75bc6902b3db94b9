package experiment

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// stream returns the events that the engine stand-in sends for n tokens.
func stream(id, echo string, n int) []emulator.ChatResponse {
	var events []emulator.ChatResponse
	for i := range n {
		events = append(events, emulator.ChatResponse{ID: id, Echo: echo, Token: &i,
			Choices: []emulator.ChatChoice{{Delta: &emulator.ChatDelta{Content: emulator.TokenText(id, i)}}}})
	}
	return append(events, emulator.ChatResponse{ID: id, Echo: echo, Checksum: emulator.Checksum(emulator.ResponseText(id, n))})
}

// Each kind of damage must be found and named, and an intact answer must pass.
func TestCheckerFindsDamage(t *testing.T) {
	cases := []struct {
		name   string
		events []emulator.ChatResponse
		want   ViolationKind
	}{
		{"intact", stream("id", "tag", 4), ""},
		{"another caller's answer", stream("id", "other", 4), ForeignAnswer},
		{"lost token", slices.Delete(stream("id", "tag", 4), 1, 2), WrongToken},
		{"repeated token", slices.Insert(stream("id", "tag", 4), 1, stream("id", "tag", 4)[0]), WrongToken},
		{"two generations", append(stream("id", "tag", 4)[:2], stream("id2", "tag", 4)[2:]...), MixedAnswer},
		{"no last event", stream("id", "tag", 4)[:4], Truncated},
		{"too short", stream("id", "tag", 3), WrongLength},
		{"wrong last event", append(stream("id", "tag", 4)[:4], stream("id", "tag", 5)[5]), WrongChecksum},
	}
	for _, c := range cases {
		k := checker{tag: "tag", header: "id", want: 4}
		for i := range c.events {
			k.event(&c.events[i])
		}
		k.done()
		found := slices.ContainsFunc(k.found, func(v Violation) bool { return v.Kind == c.want })
		if found != (c.want != "") || c.want == "" && len(k.found) > 0 {
			t.Errorf("%s: found %v, want %q", c.name, k.found, c.want)
		}
	}
}

// Orders must be judged by what ran, whatever their callers were told.
func TestOrdersAreCompared(t *testing.T) {
	runs := func(order, ticket int) emulator.Executions {
		return emulator.Executions{Orders: map[string]int{"o": order}, Keys: map[string]int{"old": ticket}}
	}
	cases := []struct {
		name string
		o    orderResult
		x    emulator.Executions
		want ViolationKind
	}{
		{"ran once", orderResult{state: orderAnswered}, runs(1, 0), ""},
		{"ran twice", orderResult{state: orderUnknown}, runs(2, 0), RepeatedOrder},
		{"unknown", orderResult{state: orderUnknown}, runs(0, 0), ""},
		{"answered but not run", orderResult{state: orderAnswered}, runs(0, 0), OrderNotExecuted},
		{"run but denied", orderResult{state: orderNotRun}, runs(1, 0), RanAfterNotRun},
		{"first ticket ran", orderResult{state: orderUnknown, notRun: []string{"old"}}, runs(1, 1), RanAfterNotRun},
	}
	for _, c := range cases {
		c.o.order = "o"
		found := c.o.compare(c.x)
		if (len(found) > 0) != (c.want != "") || len(found) > 0 && found[0].Kind != c.want {
			t.Errorf("%s: found %v, want %q", c.name, found, c.want)
		}
	}
}

func testScenario() *Scenario {
	s := &Scenario{Name: "s", Seed: 3, Duration: config.Duration(20 * time.Second), Targets: []string{"127.0.0.1:1"},
		Classes: []ClassLoad{{Class: "c", Model: "m", Rate: 20,
			Burst:  &Burst{Every: config.Duration(10 * time.Second), Length: config.Duration(time.Second), Factor: 10},
			Prompt: Lengths{Median: 50, Sigma: 0.5, Max: 500}, Output: Lengths{Median: 20, Sigma: 0.5, Max: 60},
			Teams: []TeamShare{{Team: "large", Share: 3}, {Team: "small", Share: 1}}}}}
	s.setDefaults()
	return s
}

// A seed must give one plan, or two versions could not be compared on the same load.
func TestPlanFollowsSeedAndRates(t *testing.T) {
	s := testScenario()
	plan := Plan(s)
	if !slices.Equal(plan, Plan(s)) {
		t.Error("the same seed gave two plans")
	}
	var burst, rest, large int
	for _, a := range plan {
		if a.At%(10*time.Second) < time.Second {
			burst++
		} else {
			rest++
		}
		if a.Team == 0 {
			large++
		}
		if a.Output < 1 || a.Output > 60 || a.Prompt < 1 || a.Prompt > 500 {
			t.Fatalf("lengths %d and %d", a.Prompt, a.Output)
		}
	}
	// Expected: 2 s at 200/s, 18 s at 20/s, three quarters from the large team. The
	// bounds are five standard deviations; the seed is fixed.
	if burst < 300 || burst > 500 || rest < 265 || rest > 455 {
		t.Errorf("%d arrivals in bursts, %d outside", burst, rest)
	}
	if part := float64(large) / float64(len(plan)); part < 0.67 || part > 0.83 {
		t.Errorf("share of the large team %.2f", part)
	}
}

// A wrong scenario must be refused with the line and the field.
func TestParseScenarioNamesTheField(t *testing.T) {
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
