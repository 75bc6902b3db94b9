package main

import (
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

type emulateFlags struct {
	config    string
	platform  string
	instances []string
	seed      uint64
	slots     int
	decode    time.Duration
	prefill   time.Duration
}

func newEmulate() *cobra.Command {
	var f emulateFlags
	c := &cobra.Command{
		Use:   "emulate",
		Short: "Start stand-ins for all upstreams of a configuration and for the platform",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return emulate(c, f) },
	}
	c.Flags().StringVar(&f.config, "config", "", "configuration file")
	c.Flags().StringVar(&f.platform, "platform", "", "address of the platform stand-in, which serves the file; empty: none")
	c.Flags().StringArrayVar(&f.instances, "instance", nil, "entry NAME=ADDRESS of the platform's instance list; may be repeated")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the output lengths")
	c.Flags().IntVar(&f.slots, "slots", 0, "requests that an engine runs at a time; 0: the default")
	c.Flags().DurationVar(&f.decode, "decode-interval", 0, "time between tokens of a small batch; 0: the default")
	c.Flags().DurationVar(&f.prefill, "prefill-per-token", 0, "time for each prompt token; 0: the default")
	_ = c.MarkFlagRequired("config")
	return c
}

// emulate runs until the command's context ends.
func emulate(c *cobra.Command, f emulateFlags) error {
	d, text, err := readConfig(f.config)
	if err != nil {
		return err
	}
	list, err := parseInstances(f.instances)
	if err != nil {
		return err
	}
	fleet, err := emulator.StartFleet(d, emulator.FleetOptions{
		Model:    emulator.Model{Slots: f.slots, DecodeInterval: f.decode, PrefillPerToken: f.prefill},
		Seed:     f.seed,
		Platform: f.platform, Text: text, Instances: list,
	})
	if err != nil {
		return errors.Wrap(err, f.config)
	}
	log := logrus.New()
	log.SetOutput(c.ErrOrStderr())
	log.WithFields(logrus.Fields{"deployment": d.Name, "engines": len(fleet.Engines),
		"services": len(fleet.Services), "platform": f.platform}).Info("stand-ins ready")
	<-c.Context().Done()
	fleet.Stop()
	log.Info("stand-ins stopped")
	return nil
}

func parseInstances(entries []string) ([]platformapi.Instance, error) {
	list := make([]platformapi.Instance, 0, len(entries))
	for _, entry := range entries {
		name, address, _ := strings.Cut(entry, "=")
		i := platformapi.Instance{Name: name, Address: address, State: platformapi.Live}
		if err := i.Validate(); err != nil {
			return nil, errors.Wrapf(err, "--instance %s", entry)
		}
		list = append(list, i)
	}
	return list, nil
}
