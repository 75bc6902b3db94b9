package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
)

// routingTable indexes a configuration for request lookups. It is immutable.
type routingTable struct {
	revision   uint64
	deployment *config.Deployment
	teams      map[[sha256.Size]byte]*team
	classes    map[string]*config.Class
	models     map[string]*pool
	services   []serviceRoute // longest prefix first
}

type team struct {
	name    string
	allowed map[string]bool // allowed classes; nil allows all
}

type serviceRoute struct {
	service config.Service
	pool    *pool
}

func newRoutingTable(revision uint64, d *config.Deployment, pools map[string]*pool) *routingTable {
	r := &routingTable{
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

func (r *routingTable) addTeam(t config.Team) {
	teamEntry := &team{name: t.Name}
	if len(t.Classes) > 0 {
		teamEntry.allowed = map[string]bool{}
		for _, c := range t.Classes {
			teamEntry.allowed[c] = true
		}
	}
	for _, keyHash := range t.KeySHA256 {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(keyHash)); err == nil {
			r.teams[digest] = teamEntry
		}
	}
}

// authenticate returns the team of a bearer key. The lookup uses the key's digest, so
// its timing reveals nothing about the keys.
func (r *routingTable) authenticate(header string) (*team, *apierror.Error) {
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

// resolveClass selects the class from the header, the first matching class rule, or the
// default of the model or service, in this order.
func (r *routingTable) resolveClass(header, path, model, defaultClass string, t *team) (*config.Class, *apierror.Error) {
	name := header
	if name == "" {
		name = r.classByRule(path, model, t.name)
	}
	if name == "" {
		name = defaultClass
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

func (r *routingTable) classByRule(path, model, team string) string {
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

// matchService returns the service with the longest prefix that matches the path.
func (r *routingTable) matchService(path string) (serviceRoute, bool) {
	for _, s := range r.services {
		if strings.HasPrefix(path, s.service.PathPrefix) {
			return s, true
		}
	}
	return serviceRoute{}, false
}

// isNonIdempotent reports whether the operation must run at most once. Case (of the method
// too) and trailing slashes are ignored: an upstream may accept such variants, and they
// must not bypass the ticket requirement.
func (s serviceRoute) isNonIdempotent(method, path string) bool {
	path = normalizePath(path)
	for _, op := range s.service.NonIdempotent {
		if !strings.EqualFold(op.Method, method) {
			continue
		}
		prefix, isPrefix := strings.CutSuffix(op.Path, "*")
		if isPrefix && strings.HasPrefix(path+"/", strings.ToLower(prefix)) || normalizePath(op.Path) == path {
			return true
		}
	}
	return false
}

func normalizePath(path string) string { return strings.ToLower(strings.TrimRight(path, "/")) }
