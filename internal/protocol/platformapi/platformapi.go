// Package platformapi defines the requests and responses of the platform's services: the
// configuration service, which can be read and watched, and the list of instances.
package platformapi

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Paths and headers of the platform's services.
const (
	// PathDeployment serves the configuration.
	PathDeployment = "/v1/config/deployment"
	// PathInstances serves the list of instances.
	PathInstances = "/v1/instances"
	// HeaderRevision contains the revision of the configuration.
	HeaderRevision = "X-Revision"
)

// MaxWait bounds the wait of a watch; longer waits are reduced to it.
const MaxWait = 60 * time.Second

const (
	paramAfter = "after"
	paramWait  = "wait"
)

// Revision is the version number of a configuration. Higher is newer; zero means none.
type Revision uint64

// ParseRevision parses a revision from a header or a query parameter.
func ParseRevision(text string) (Revision, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a revision", text)
	}
	return Revision(n), nil
}

// String returns the decimal form.
func (r Revision) String() string { return strconv.FormatUint(uint64(r), 10) }

// Deployment is the text of a configuration with its revision.
type Deployment struct {
	Revision Revision
	Text     []byte
}

// Watch requests a revision above After, waiting at most Wait for it. The zero value reads the
// current configuration without waiting.
type Watch struct {
	After Revision
	Wait  time.Duration
}

// IsRead reports whether the call reads without waiting.
func (w Watch) IsRead() bool { return w == Watch{} }

// URI returns the path and query of the call.
func (w Watch) URI() string {
	if w.IsRead() {
		return PathDeployment
	}
	seconds := strconv.FormatFloat(w.Wait.Seconds(), 'f', -1, 64)
	return PathDeployment + "?" + paramAfter + "=" + w.After.String() + "&" + paramWait + "=" + seconds
}

// ParseWatch parses the query of a call. The wait is in seconds and may be fractional.
func ParseWatch(query string) (Watch, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return Watch{}, errors.Wrap(err, "query")
	}
	var w Watch
	if text := values.Get(paramAfter); text != "" {
		if w.After, err = ParseRevision(text); err != nil {
			return Watch{}, errors.Wrap(err, paramAfter)
		}
	}
	if text := values.Get(paramWait); text != "" {
		seconds, err := strconv.ParseFloat(strings.TrimSuffix(text, "s"), 64)
		if err != nil || !(seconds >= 0) {
			return Watch{}, errors.Errorf("%s: %q is not a number of seconds", paramWait, text)
		}
		w.Wait = time.Duration(min(seconds, MaxWait.Seconds()) * float64(time.Second))
	}
	return w, nil
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

const (
	// Live instances accept requests.
	Live InstanceState = "live"
	// Leaving instances are about to be stopped.
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
	// Role is RoleEntry for an entry instance, whose Address is the one through which other
	// instances join. Empty means an upstream.
	Role Role `json:"role,omitempty"`
}

// Role distinguishes entry instances from upstreams.
type Role string

// RoleEntry is the role of an entry instance.
const RoleEntry Role = "entry"

// Validate checks the fields that clients depend on.
func (i Instance) Validate() error {
	switch {
	case i.Name == "":
		return errors.New("instance without a name")
	case i.Address == "":
		return errors.Errorf("instance %q without an address", i.Name)
	case i.State != Live && i.State != Leaving:
		return errors.Errorf("instance %q has the unknown state %q", i.Name, i.State)
	}
	return nil
}
