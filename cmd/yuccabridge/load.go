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
	configFile   string
	scenarioFile string
	jsonFile     string
	targets      []string
	duration     time.Duration
}

func newLoadCommand() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Generate the load of a scenario, check every response and report",
		Long: "Generate the load of a scenario against entry instances, check every response and report.\n" +
			"The exit code is 1 if a response or an order violated a guarantee.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c, f) },
	}
	c.Flags().StringVar(&f.configFile, "config", "", "configuration file with the targets of the classes and the addresses of the stand-ins")
	c.Flags().StringVar(&f.scenarioFile, "scenario", "", "scenario file")
	c.Flags().StringVar(&f.jsonFile, "json", "", "file for the report as JSON")
	c.Flags().StringSliceVar(&f.targets, "target", nil, "entry instance addresses, overriding the scenario's")
	c.Flags().DurationVar(&f.duration, "duration", 0, "duration, overriding the scenario's")
	_ = c.MarkFlagRequired("config")
	_ = c.MarkFlagRequired("scenario")
	return c
}

func runLoad(c *cobra.Command, f loadFlags) error {
	deployment, _, err := readConfig(f.configFile)
	if err != nil {
		return err
	}
	scenario, err := readScenario(f.scenarioFile, deployment)
	if err != nil {
		return err
	}
	if len(f.targets) > 0 {
		scenario.EntryAddresses = f.targets
		for _, target := range f.targets {
			if _, err := netip.ParseAddrPort(target); err != nil {
				return errors.Errorf("--target %s: not an IP address with port", target)
			}
		}
	}
	if f.duration > 0 {
		scenario.Duration = config.Duration(f.duration)
	}
	report := experiment.Run(c.Context(), scenario, deployment)
	if err := printReport(c.OutOrStdout(), report, f.jsonFile); err != nil {
		return err
	}
	if violations := report.ViolationCount(); violations > 0 {
		return checkError{errors.Errorf("%s: %d violations", f.scenarioFile, violations)}
	}
	return nil
}

func readScenario(file string, deployment *config.Deployment) (*experiment.Scenario, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	scenario, err := experiment.ParseScenario(text)
	if err == nil {
		err = config.Locate(text, scenario.CheckAgainst(deployment))
	}
	if err != nil {
		return nil, errors.Errorf("%s: %v", file, err)
	}
	return scenario, nil
}

func writeReportJSON(file string, report *experiment.Report) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := report.WriteJSON(out); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(out.Close(), "report")
}
