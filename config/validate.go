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

// namePattern keeps names safe in logs, metrics labels and URLs.
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
		panic(err) // only a malformed tag name can fail
	}
}

// Validate checks every rule that instances enforce.
func (d *Deployment) Validate() error {
	if err := ValidateStruct(d); err != nil {
		return err
	}
	c := newChecker(d)
	c.classes()
	c.teams()
	c.upstreams()
	c.rules()
	c.placement()
	return c.err
}

// ValidateStruct runs the validation tags of v and reports the first violation
// with the YAML path of its field.
func ValidateStruct(v any) error {
	err := validate.Struct(v)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return err
	}
	first := list[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	rule := first.Tag()
	if p := first.Param(); p != "" {
		rule += "=" + p
	}
	reason := fmt.Sprintf("value %q breaks the rule %s", fmt.Sprint(first.Value()), describe(rule))
	return &FieldError{Field: path, Reason: reason}
}

// describe explains the rules that are this package's own.
func describe(rule string) string {
	switch rule {
	case "ipport":
		return "IP address with port"
	case "name":
		return "name (letters, digits, dot, underscore, hyphen; at most 63 characters)"
	}
	return rule
}

// checker holds the cross-reference checks; it keeps the first error.
type checker struct {
	d       *Deployment
	class   map[string]bool
	team    map[string]bool
	model   map[string]bool
	domain  map[string]bool
	address map[string]string
	err     error
}

func newChecker(d *Deployment) *checker {
	c := &checker{d: d, class: map[string]bool{}, team: map[string]bool{}, model: map[string]bool{},
		domain: map[string]bool{}, address: map[string]string{}}
	for _, name := range d.FailureDomains {
		c.domain[name] = true
	}
	return c
}

func (c *checker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
	}
}

// declare records a name and fails when it is there already.
func (c *checker) declare(set map[string]bool, field, name string) {
	if set[name] {
		c.fail(field, "%q is declared twice", name)
	}
	set[name] = true
}

// refer fails when a name is not declared.
func (c *checker) refer(set map[string]bool, field, name string) {
	if !set[name] {
		c.fail(field, "%q is not declared", name)
	}
}

func (c *checker) classes() {
	for i, x := range c.d.Classes {
		c.declare(c.class, fmt.Sprintf("classes[%d].name", i), x.Name)
		if x.Deadline < x.FirstTokenTarget {
			c.fail(fmt.Sprintf("classes[%d].deadline", i), "%s is shorter than first_token_target %s", x.Deadline.Std(), x.FirstTokenTarget.Std())
		}
	}
}

func (c *checker) teams() {
	keys := map[string]bool{}
	for i, t := range c.d.Teams {
		c.declare(c.team, fmt.Sprintf("teams[%d].name", i), t.Name)
		for j, k := range t.KeySHA256 {
			c.declare(keys, fmt.Sprintf("teams[%d].key_sha256[%d]", i, j), k)
		}
		for j, name := range t.Classes {
			c.refer(c.class, fmt.Sprintf("teams[%d].classes[%d]", i, j), name)
		}
	}
}

func (c *checker) upstreams() {
	pools, names, prefixes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i, m := range c.d.Models {
		field := fmt.Sprintf("models[%d]", i)
		c.declare(pools, field+".name", m.Name)
		c.model[m.Name] = true
		c.refer(c.class, field+".class", m.Class)
		c.servers(names, field, m.Upstreams)
	}
	for i, s := range c.d.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.declare(pools, field+".name", s.Name)
		c.declare(prefixes, field+".path_prefix", s.PathPrefix)
		if strings.HasPrefix(s.PathPrefix, "/v1/") {
			c.fail(field+".path_prefix", "%q is reserved", s.PathPrefix)
		}
		c.refer(c.class, field+".class", s.Class)
		for j, op := range s.NonIdempotent {
			if !strings.HasPrefix(op.Path, s.PathPrefix) {
				c.fail(fmt.Sprintf("%s.non_idempotent[%d].path", field, j), "%q is not below %q", op.Path, s.PathPrefix)
			}
		}
		c.servers(names, field, s.Upstreams)
	}
}

func (c *checker) servers(names map[string]bool, field string, list []Upstream) {
	for i, u := range list {
		at := fmt.Sprintf("%s.upstreams[%d]", field, i)
		c.declare(names, at+".name", u.Name)
		c.refer(c.domain, at+".failure_domain", u.FailureDomain)
		if other, ok := c.address[u.Address]; ok {
			c.fail(at+".address", "%q is also the address of %q", u.Address, other)
		}
		c.address[u.Address] = u.Name
	}
}

func (c *checker) rules() {
	for i, r := range c.d.ClassRules {
		field := fmt.Sprintf("class_rules[%d]", i)
		c.refer(c.class, field+".class", r.Class)
		if r.Team != "" {
			c.refer(c.team, field+".team", r.Team)
		}
		if r.Model != "" {
			c.refer(c.model, field+".model", r.Model)
		}
	}
}
