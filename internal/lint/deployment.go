package lint

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yuccabridge/yuccabridge/config"
)

// chatPath is the path of all requests to models.
const chatPath = "/v1/chat/completions"

// Deployment returns the findings on a configuration in the router's own format.
func Deployment(text []byte) []Finding {
	c := deploymentChecker{Report: NewReport(text)}
	d, err := config.Parse(text)
	if err != nil {
		c.AddError(err)
		return c.Findings()
	}
	c.deployment = d
	c.checkClasses()
	c.checkOperations()
	c.checkClassRules()
	return c.Findings()
}

type deploymentChecker struct {
	*Report
	deployment *config.Deployment
}

func (c *deploymentChecker) checkClasses() {
	for i, class := range c.deployment.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if !slices.ContainsFunc(c.deployment.Teams, func(t config.Team) bool { return mayUse(t, class.Name) }) {
			c.Add(NeverMatches, field, "no team may use class %q", class.Name)
		}
		limit := class.Deadline
		if c.deployment.Objective == config.Attainment {
			limit = class.FirstTokenTarget
		}
		if class.MaxWait >= limit/2 && class.MaxWait > 0 {
			c.Add(NoEffect, field+".max_wait", "%s is not less than half of the class's limit of %s: a quarter of the limit is used", class.MaxWait.Std(), limit.Std())
		}
	}
}

func mayUse(t config.Team, class string) bool {
	return len(t.Classes) == 0 || slices.Contains(t.Classes, class)
}

func (c *deploymentChecker) checkOperations() {
	for i, s := range c.deployment.Services {
		for j, op := range s.NonIdempotent {
			field := fmt.Sprintf("services[%d].non_idempotent[%d]", i, j)
			for _, other := range c.deployment.Services {
				if len(other.PathPrefix) > len(s.PathPrefix) && strings.HasPrefix(op.Path, other.PathPrefix) {
					c.Add(NeverMatches, field, "requests to %s are routed to service %q", op.Path, other.Name)
					break
				}
			}
			for k, earlier := range s.NonIdempotent[:j] {
				if earlier.Method == op.Method && coversPath(earlier.Path, op.Path) {
					c.Add(NoEffect, field, "%s %s is covered by services[%d].non_idempotent[%d]", op.Method, op.Path, i, k)
					break
				}
			}
		}
	}
}

// coversPath reports whether every path of an operation matches the path a.
func coversPath(a, b string) bool {
	a, b = strings.ToLower(a), strings.ToLower(b)
	if prefix, ok := strings.CutSuffix(a, "*"); ok {
		return strings.HasPrefix(b, prefix)
	}
	return a == b
}

func (c *deploymentChecker) checkClassRules() {
	for j, r := range c.deployment.ClassRules {
		field := fmt.Sprintf("class_rules[%d]", j)
		if i := slices.IndexFunc(c.deployment.ClassRules[:j], func(earlier config.ClassRule) bool { return coversRule(earlier, r) }); i >= 0 {
			c.Add(NeverMatches, field, "class_rules[%d] matches all of its requests first", i)
		} else if !c.isPathRouted(r) {
			c.Add(NeverMatches, field+".path_prefix", "no model or service receives requests to %s", r.PathPrefix)
		}
		if t := slices.IndexFunc(c.deployment.Teams, func(t config.Team) bool { return t.Name == r.Team }); t >= 0 && !mayUse(c.deployment.Teams[t], r.Class) {
			c.Add(Conflict, field+".class", "team %q may not use class %q: its requests without X-Class are refused", r.Team, r.Class)
		}
	}
}

// coversRule reports whether every request that matches b matches a.
func coversRule(a, b config.ClassRule) bool {
	return strings.HasPrefix(b.PathPrefix, a.PathPrefix) && (a.Model == "" || a.Model == b.Model) && (a.Team == "" || a.Team == b.Team)
}

// isPathRouted reports whether a request that is routed to a model or service can match the rule's path prefix and model.
func (c *deploymentChecker) isPathRouted(r config.ClassRule) bool {
	if strings.HasPrefix(chatPath, r.PathPrefix) && len(c.deployment.Models) > 0 {
		return true
	}
	return r.Model == "" && slices.ContainsFunc(c.deployment.Services, func(s config.Service) bool {
		return strings.HasPrefix(s.PathPrefix, r.PathPrefix) || strings.HasPrefix(r.PathPrefix, s.PathPrefix)
	})
}
