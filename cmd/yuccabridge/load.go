package main

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/experiment"
)

type loadFlags struct {
	config   string
	scenario string
	json     string
	targets  []string
	duration time.Duration
}

func newLoad() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send a scenario's load, check every answer and report",
		Long: "Send a scenario's load to entry instances, check every answer and report.\n" +
			"The exit code is 1 when an answer or an order broke a promise.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return load(c, f) },
	}
	c.Flags().StringVar(&f.config, "config", "", "configuration file: targets of the classes, addresses of the stand-ins")
	c.Flags().StringVar(&f.scenario, "scenario", "", "scenario file")
	c.Flags().StringVar(&f.json, "json", "", "file for the report as JSON")
	c.Flags().StringSliceVar(&f.targets, "target", nil, "entry addresses instead of the scenario's")
	c.Flags().DurationVar(&f.duration, "duration", 0, "duration instead of the scenario's")
	_ = c.MarkFlagRequired("config")
	_ = c.MarkFlagRequired("scenario")
	return c
}

func load(c *cobra.Command, f loadFlags) error {
	d, _, err := readConfig(f.config)
	if err != nil {
		return err
	}
	s, err := readScenario(f.scenario, d)
	if err != nil {
		return err
	}
	if len(f.targets) > 0 {
		s.Targets = f.targets
		for _, t := range f.targets {
			if _, err := netip.ParseAddrPort(t); err != nil {
				return errors.Errorf("--target %s: not an IP address with port", t)
			}
		}
	}
	if f.duration > 0 {
		s.Duration = config.Duration(f.duration)
	}
	report := experiment.Run(c.Context(), s, d)
	if err := showReport(c.OutOrStdout(), report, f.json); err != nil {
		return err
	}
	if n := report.ViolationCount(); n > 0 {
		return checkError{errors.Errorf("%s: %d violations", f.scenario, n)}
	}
	return nil
}

func readScenario(file string, d *config.Deployment) (*experiment.Scenario, error) {
	text, err := readText(file)
	if err != nil {
		return nil, err
	}
	s, err := experiment.ParseScenario(text)
	if err == nil {
		err = config.Locate(text, s.CheckAgainst(d))
	}
	if err != nil {
		return nil, errors.Errorf("%s: %v", file, err)
	}
	return s, nil
}

func writeReport(file string, r *experiment.Report) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := r.WriteJSON(out); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(out.Close(), "report")
}
