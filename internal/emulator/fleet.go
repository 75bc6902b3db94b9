package emulator

import (
	"hash/fnv"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

// FleetOptions configure the stand-ins of a deployment.
type FleetOptions struct {
	// Performance and OutputLengths apply to every engine.
	Performance   Performance
	OutputLengths OutputLengths
	// Seed is combined with the name of each engine to derive the seed of the engine.
	Seed uint64
	// PlatformAddress is the address of the platform stand-in. If empty, none is started.
	PlatformAddress string
	// Configuration is the text that the platform serves as its first revision.
	Configuration []byte
	// Instances is the platform's initial list of instances.
	Instances []platformapi.Instance
}

// Fleet holds the running stand-ins of a deployment by upstream name.
type Fleet struct {
	Engines  map[string]*Engine
	Services map[string]*Service
	Platform *Platform
}

// StartFleet starts a stand-in at the address of each upstream of the deployment. If one
// cannot start, it stops the others.
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
			e := NewEngine(EngineOptions{Name: u.Name, Performance: o.Performance, OutputLengths: o.OutputLengths, Seed: o.Seed ^ nameSeed(u.Name),
				Placement: Placement{Version: m.Version, Adapters: m.Adapters, Role: string(u.Role)}})
			if err := e.Start(u.Address); err != nil {
				return errors.Wrap(err, u.Name)
			}
			f.Engines[u.Name] = e
		}
	}
	for _, service := range d.Services {
		for _, u := range service.Upstreams {
			s := NewService(u.Name)
			if err := s.Start(u.Address); err != nil {
				return errors.Wrap(err, u.Name)
			}
			f.Services[u.Name] = s
		}
	}
	if o.PlatformAddress == "" {
		return nil
	}
	p := NewPlatform(PlatformOptions{})
	if _, err := p.Publish(o.Configuration); err != nil {
		return errors.Wrap(err, "platform")
	}
	p.SetInstances(o.Instances)
	if err := p.Start(o.PlatformAddress); err != nil {
		return errors.Wrap(err, "platform")
	}
	f.Platform = p
	return nil
}

// Stop stops all stand-ins.
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
