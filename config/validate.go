package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// namePattern restricts names to characters that are safe in logs, metric labels and URLs.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	mustRegister(v, "name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	})
	mustRegister(v, "ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err) // registration fails only for a malformed tag name
	}
}

// Validate checks all rules that instances enforce.
func (d *Deployment) Validate() error {
	if err := ValidateStruct(d); err != nil {
		return err
	}
	c := newChecker(d)
	c.checkClasses()
	c.checkTeams()
	c.checkModelsAndServices()
	c.checkClassRules()
	c.checkPlacement()
	return c.err
}

// ValidateStruct validates v by its struct tags and returns the first violation with the
// YAML path of its field.
func ValidateStruct(v any) error {
	err := validate.Struct(v)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return err
	}
	first := violations[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	rule := first.Tag()
	if param := first.Param(); param != "" {
		rule += "=" + param
	}
	reason := fmt.Sprintf("value %q violates the rule %s", fmt.Sprint(first.Value()), describeRule(rule))
	return &FieldError{Field: path, Reason: reason}
}

// describeRule returns a description of the rules registered by this package; other rules
// are returned unchanged.
func describeRule(rule string) string {
	switch rule {
	case "ipport":
		return "IP address and port"
	case "name":
		return "name (letters, digits, dot, underscore, hyphen; at most 63 characters)"
	}
	return rule
}

// checker checks uniqueness and references between sections and keeps the first error.
type checker struct {
	deployment        *Deployment
	classes           map[string]bool
	teams             map[string]bool
	models            map[string]bool
	failureDomains    map[string]bool
	upstreamByAddress map[string]string
	err               error
}

func newChecker(d *Deployment) *checker {
	c := &checker{deployment: d, classes: map[string]bool{}, teams: map[string]bool{}, models: map[string]bool{},
		failureDomains: map[string]bool{}, upstreamByAddress: map[string]string{}}
	for _, name := range d.FailureDomains {
		c.failureDomains[name] = true
	}
	return c
}

func (c *checker) addError(field, format string, args ...any) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
	}
}

// declare adds name to declared and records an error if it is already in the set.
func (c *checker) declare(declared map[string]bool, field, name string) {
	if declared[name] {
		c.addError(field, "%q is declared twice", name)
	}
	declared[name] = true
}

// requireDeclared records an error if name is not in declared.
func (c *checker) requireDeclared(declared map[string]bool, field, name string) {
	if !declared[name] {
		c.addError(field, "%q is not declared", name)
	}
}

func (c *checker) checkClasses() {
	for i, class := range c.deployment.Classes {
		c.declare(c.classes, fmt.Sprintf("classes[%d].name", i), class.Name)
		if class.Deadline < class.FirstTokenTarget {
			c.addError(fmt.Sprintf("classes[%d].deadline", i), "%s is shorter than first_token_target %s", class.Deadline.Std(), class.FirstTokenTarget.Std())
		}
	}
}

func (c *checker) checkTeams() {
	keyDigests := map[string]bool{}
	for i, team := range c.deployment.Teams {
		c.declare(c.teams, fmt.Sprintf("teams[%d].name", i), team.Name)
		for j, digest := range team.KeySHA256 {
			c.declare(keyDigests, fmt.Sprintf("teams[%d].key_sha256[%d]", i, j), digest)
		}
		for j, name := range team.Classes {
			c.requireDeclared(c.classes, fmt.Sprintf("teams[%d].classes[%d]", i, j), name)
		}
	}
}

func (c *checker) checkModelsAndServices() {
	poolNames, upstreamNames, pathPrefixes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i, model := range c.deployment.Models {
		field := fmt.Sprintf("models[%d]", i)
		c.declare(poolNames, field+".name", model.Name)
		c.models[model.Name] = true
		c.requireDeclared(c.classes, field+".class", model.Class)
		c.checkUpstreams(upstreamNames, field, model.Upstreams)
	}
	for i, service := range c.deployment.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.declare(poolNames, field+".name", service.Name)
		c.declare(pathPrefixes, field+".path_prefix", service.PathPrefix)
		if strings.HasPrefix(service.PathPrefix, "/v1/") {
			c.addError(field+".path_prefix", "%q is reserved", service.PathPrefix)
		}
		c.requireDeclared(c.classes, field+".class", service.Class)
		for j, op := range service.NonIdempotent {
			if !strings.HasPrefix(op.Path, service.PathPrefix) {
				c.addError(fmt.Sprintf("%s.non_idempotent[%d].path", field, j), "%q is not under the path prefix %q", op.Path, service.PathPrefix)
			}
		}
		c.checkUpstreams(upstreamNames, field, service.Upstreams)
	}
}

func (c *checker) checkUpstreams(names map[string]bool, field string, upstreams []Upstream) {
	for i, upstream := range upstreams {
		upstreamField := fmt.Sprintf("%s.upstreams[%d]", field, i)
		c.declare(names, upstreamField+".name", upstream.Name)
		c.requireDeclared(c.failureDomains, upstreamField+".failure_domain", upstream.FailureDomain)
		if other, ok := c.upstreamByAddress[upstream.Address]; ok {
			c.addError(upstreamField+".address", "%q is also the address of %q", upstream.Address, other)
		}
		c.upstreamByAddress[upstream.Address] = upstream.Name
	}
}

func (c *checker) checkClassRules() {
	for i, rule := range c.deployment.ClassRules {
		field := fmt.Sprintf("class_rules[%d]", i)
		c.requireDeclared(c.classes, field+".class", rule.Class)
		if rule.Team != "" {
			c.requireDeclared(c.teams, field+".team", rule.Team)
		}
		if rule.Model != "" {
			c.requireDeclared(c.models, field+".model", rule.Model)
		}
	}
}
