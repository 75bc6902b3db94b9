package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
)

// routes is a configuration in the form that requests look up. It is immutable.
type routes struct {
	revision   uint64
	deployment *config.Deployment
	teams      map[[sha256.Size]byte]*team
	classes    map[string]*config.Class
	models     map[string]*pool
	services   []serviceRoute // the longest prefix first
}

type team struct {
	name    string
	allowed map[string]bool // nil: every class
}

type serviceRoute struct {
	service config.Service
	pool    *pool
}

func newRoutes(revision uint64, d *config.Deployment, pools map[string]*pool) *routes {
	r := &routes{
		revision:   revision,
		deployment: d,
		teams:      map[[sha256.Size]byte]*team{},
		classes:    map[string]*config.Class{},
		models:     map[string]*pool{},
	}
	for i := range d.Classes {
		r.classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for _, t := range d.Teams {
		r.addTeam(t)
	}
	for _, m := range d.Models {
		r.models[m.Name] = pools[m.Name]
	}
	for _, s := range d.Services {
		r.services = append(r.services, serviceRoute{service: s, pool: pools[s.Name]})
	}
	sort.SliceStable(r.services, func(i, j int) bool {
		return len(r.services[i].service.PathPrefix) > len(r.services[j].service.PathPrefix)
	})
	return r
}

func (r *routes) addTeam(t config.Team) {
	entry := &team{name: t.Name}
	if len(t.Classes) > 0 {
		entry.allowed = map[string]bool{}
		for _, c := range t.Classes {
			entry.allowed[c] = true
		}
	}
	for _, text := range t.KeySHA256 {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(text)); err == nil {
			r.teams[digest] = entry
		}
	}
}

// authenticate finds the team of a bearer key. The lookup goes by digest, so its
// timing tells nothing about the keys.
func (r *routes) authenticate(header string) (*team, *apierror.Error) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return nil, apierror.New(apierror.MissingKey, "the Authorization header must hold a bearer key")
	}
	t, ok := r.teams[sha256.Sum256([]byte(key))]
	if !ok {
		return nil, apierror.New(apierror.UnknownKey, "the bearer key is not known")
	}
	return t, nil
}

// classFor chooses the class: the header first, then the first matching rule, then
// the default of the model or service.
func (r *routes) classFor(header, path, model, fallback string, t *team) (*config.Class, *apierror.Error) {
	name := header
	if name == "" {
		name = r.ruleClass(path, model, t.name)
	}
	if name == "" {
		name = fallback
	}
	class, ok := r.classes[name]
	if !ok {
		return nil, apierror.New(apierror.UnknownClass, "the class in X-Class is not declared")
	}
	if t.allowed != nil && !t.allowed[name] {
		return nil, apierror.New(apierror.ClassNotAllowed, "the team may not use class "+name)
	}
	return class, nil
}

func (r *routes) ruleClass(path, model, team string) string {
	for _, rule := range r.deployment.ClassRules {
		if rule.PathPrefix != "" && !strings.HasPrefix(path, rule.PathPrefix) {
			continue
		}
		if rule.Model != "" && rule.Model != model || rule.Team != "" && rule.Team != team {
			continue
		}
		return rule.Class
	}
	return ""
}

// service finds the service whose prefix matches the path.
func (r *routes) service(path string) (serviceRoute, bool) {
	for _, s := range r.services {
		if strings.HasPrefix(path, s.service.PathPrefix) {
			return s, true
		}
	}
	return serviceRoute{}, false
}

// nonIdempotent reports whether the operation must run at most once. Letter case, of
// the method too, and a trailing slash make no difference: an upstream may ignore them,
// and a spelling that it accepts must not get around the ticket.
func (s serviceRoute) nonIdempotent(method, path string) bool {
	path = plainPath(path)
	for _, op := range s.service.NonIdempotent {
		if !strings.EqualFold(op.Method, method) {
			continue
		}
		prefix, isPrefix := strings.CutSuffix(op.Path, "*")
		if isPrefix && strings.HasPrefix(path+"/", strings.ToLower(prefix)) || plainPath(op.Path) == path {
			return true
		}
	}
	return false
}

func plainPath(path string) string { return strings.ToLower(strings.TrimRight(path, "/")) }
