package emulator

import (
	"hash/fnv"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

// FleetOptions configure the stand-ins of a whole deployment.
type FleetOptions struct {
	// Model and Lengths hold for every engine.
	Model   Model
	Lengths Lengths
	// Seed gives each engine a seed of its own, derived from its name.
	Seed uint64
	// Platform is the address of the platform stand-in. Empty: none is started.
	Platform string
	// Text is the configuration that the platform serves as its first revision.
	Text []byte
	// Instances is the platform's first list of instances.
	Instances []platformapi.Instance
}

// Fleet holds the running stand-ins of a deployment by upstream name.
type Fleet struct {
	Engines  map[string]*Engine
	Services map[string]*Service
	Platform *Platform
}

// StartFleet starts a stand-in on the address of each upstream. When one cannot
// start, the others are stopped again.
func StartFleet(d *config.Deployment, o FleetOptions) (*Fleet, error) {
	f := &Fleet{Engines: map[string]*Engine{}, Services: map[string]*Service{}}
	if err := f.start(d, o); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(d *config.Deployment, o FleetOptions) error {
	for _, m := range d.Models {
		for _, u := range m.Upstreams {
			e := NewEngine(EngineOptions{Name: u.Name, Model: o.Model, Lengths: o.Lengths, Seed: o.Seed ^ nameSeed(u.Name),
				Placement: Placement{Version: m.Version, Adapters: m.Adapters, Role: string(u.Role)}})
			if err := e.Start(u.Address); err != nil {
				return errors.Wrap(err, u.Name)
			}
			f.Engines[u.Name] = e
		}
	}
	for _, x := range d.Services {
		for _, u := range x.Upstreams {
			s := NewService(u.Name)
			if err := s.Start(u.Address); err != nil {
				return errors.Wrap(err, u.Name)
			}
			f.Services[u.Name] = s
		}
	}
	if o.Platform == "" {
		return nil
	}
	p := NewPlatform(PlatformOptions{})
	if _, err := p.Publish(o.Text); err != nil {
		return errors.Wrap(err, "platform")
	}
	p.SetInstances(o.Instances)
	if err := p.Start(o.Platform); err != nil {
		return errors.Wrap(err, "platform")
	}
	f.Platform = p
	return nil
}

// Stop ends all stand-ins.
func (f *Fleet) Stop() {
	for _, e := range f.Engines {
		e.Stop()
	}
	for _, s := range f.Services {
		s.Stop()
	}
	if f.Platform != nil {
		f.Platform.Stop()
	}
}

func nameSeed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
