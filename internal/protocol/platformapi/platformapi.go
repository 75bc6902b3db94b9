// Package platformapi defines the requests and responses of the platform's
// services: the configuration service, which can be read and watched, and the
// list of instances.
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
	// PathDeployment serves the configuration text.
	PathDeployment = "/v1/config/deployment"
	// PathInstances serves the list of instances.
	PathInstances = "/v1/instances"
	// HeaderRevision carries the revision of the configuration text.
	HeaderRevision = "X-Revision"
)

// MaxWait bounds one watch call; a longer wait is shortened to it.
const MaxWait = 60 * time.Second

const (
	paramAfter = "after"
	paramWait  = "wait"
)

// Revision numbers configuration texts. A higher number is newer; zero means none.
type Revision uint64

// ParseRevision reads a revision from a header or a query parameter.
func ParseRevision(text string) (Revision, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a revision", text)
	}
	return Revision(n), nil
}

// String returns the decimal form.
func (r Revision) String() string { return strconv.FormatUint(uint64(r), 10) }

// Deployment is a configuration text with its revision.
type Deployment struct {
	Revision Revision
	Text     []byte
}

// Watch asks for a revision above After and waits for it at most Wait. The zero
// value is a plain read.
type Watch struct {
	After Revision
	Wait  time.Duration
}

// IsRead reports whether the call is a plain read.
func (w Watch) IsRead() bool { return w == Watch{} }

// URI returns the path and query of the call.
func (w Watch) URI() string {
	if w.IsRead() {
		return PathDeployment
	}
	seconds := strconv.FormatFloat(w.Wait.Seconds(), 'f', -1, 64)
	return PathDeployment + "?" + paramAfter + "=" + w.After.String() + "&" + paramWait + "=" + seconds
}

// ParseWatch reads the query of a call. The wait is given in seconds, fractions allowed.
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
	// Live instances take work.
	Live InstanceState = "live"
	// Leaving instances are about to be stopped.
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
	// Role is RoleEntry for an entry instance, whose Address is the one that other
	// instances join through. Empty: an upstream.
	Role Role `json:"role,omitempty"`
}

// Role tells entry instances from upstreams.
type Role string

// RoleEntry marks an entry instance.
const RoleEntry Role = "entry"

// Validate checks the fields that readers rely on.
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
