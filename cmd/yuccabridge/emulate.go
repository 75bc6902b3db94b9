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
	configFile      string
	platformAddress string
	instances       []string
	seed            uint64
	engineSlots     int
	decodeInterval  time.Duration
	prefillPerToken time.Duration
}

func newEmulateCommand() *cobra.Command {
	var f emulateFlags
	c := &cobra.Command{
		Use:   "emulate",
		Short: "Run stand-ins for all upstreams of a configuration and for the platform",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return runEmulate(c, f) },
	}
	c.Flags().StringVar(&f.configFile, "config", "", "configuration file")
	c.Flags().StringVar(&f.platformAddress, "platform", "", "address of the platform stand-in, which serves the configuration file; empty: none")
	c.Flags().StringArrayVar(&f.instances, "instance", nil, "instance NAME=ADDRESS in the platform's instance list; may be repeated")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the output lengths")
	c.Flags().IntVar(&f.engineSlots, "slots", 0, "maximum concurrent requests of an engine; 0: the default")
	c.Flags().DurationVar(&f.decodeInterval, "decode-interval", 0, "decode time per token for a small batch; 0: the default")
	c.Flags().DurationVar(&f.prefillPerToken, "prefill-per-token", 0, "prefill time per prompt token; 0: the default")
	_ = c.MarkFlagRequired("config")
	return c
}

// runEmulate runs the stand-ins until the command's context is done.
func runEmulate(c *cobra.Command, f emulateFlags) error {
	deployment, text, err := readConfig(f.configFile)
	if err != nil {
		return err
	}
	instances, err := parseInstances(f.instances)
	if err != nil {
		return err
	}
	fleet, err := emulator.StartFleet(deployment, emulator.FleetOptions{
		Performance:     emulator.Performance{Slots: f.engineSlots, DecodeInterval: f.decodeInterval, PrefillPerToken: f.prefillPerToken},
		Seed:            f.seed,
		PlatformAddress: f.platformAddress, Configuration: text, Instances: instances,
	})
	if err != nil {
		return errors.Wrap(err, f.configFile)
	}
	log := logrus.New()
	log.SetOutput(c.ErrOrStderr())
	log.WithFields(logrus.Fields{"deployment": deployment.Name, "engines": len(fleet.Engines),
		"services": len(fleet.Services), "platform": f.platformAddress}).Info("stand-ins ready")
	<-c.Context().Done()
	fleet.Stop()
	log.Info("stand-ins stopped")
	return nil
}

func parseInstances(entries []string) ([]platformapi.Instance, error) {
	instances := make([]platformapi.Instance, 0, len(entries))
	for _, entry := range entries {
		name, address, _ := strings.Cut(entry, "=")
		instance := platformapi.Instance{Name: name, Address: address, State: platformapi.Live}
		if err := instance.Validate(); err != nil {
			return nil, errors.Wrapf(err, "--instance %s", entry)
		}
		instances = append(instances, instance)
	}
	return instances, nil
}
