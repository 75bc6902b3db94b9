package main

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/examples"
	"github.com/yuccabridge/yuccabridge/internal/matrix"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

type experimentFlags struct {
	config, deployment string
	conditions         []string
	policies           []string
	loads              []float64
	seeds              []uint
	json, plots, log   string
	options            matrix.Options
}

// newExperiment builds the command that compares the policies.
func newExperiment() *cobra.Command {
	var f experimentFlags
	c := &cobra.Command{
		Use:   "experiment",
		Short: "Measure the router's policy and the baseline side by side",
		Long: "Measure the router's policy and the baseline policy at several loads and conditions, each in a\n" +
			"region of its own in this process. Loads are multiples of the engines' capacity, which is\n" +
			"measured first. The exit code is 1 when the router's policy broke a promise.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runExperiment(c, f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.deployment, "deployment", "regie", "built-in deployment: regie or nilegate")
	flags.StringVar(&f.config, "config", "", "deployment file instead of a built-in one")
	flags.StringSliceVar(&f.conditions, "condition", []string{string(matrix.Steady)}, "conditions: steady, burst, stragglers, crash, partition")
	flags.StringSliceVar(&f.policies, "policy", []string{string(settings.Standard), string(settings.Baseline)}, "policies: standard, baseline")
	flags.Float64SliceVar(&f.loads, "load", []float64{0.5, 1, 1.5, 3}, "loads as multiples of the capacity")
	flags.UintSliceVar(&f.seeds, "seed", []uint{1}, "seeds of arrivals and lengths")
	flags.StringVar(&f.json, "json", "", "file for the result as JSON")
	flags.StringVar(&f.plots, "plots", "", "folder for plots over load as SVG and PNG")
	flags.StringVar(&f.log, "log", "", "file for the log of the entry instances")
	flags.DurationVar(&f.options.Warmup, "warmup", 10*time.Second, "time before the measured window")
	flags.DurationVar(&f.options.Window, "window", 30*time.Second, "measured time")
	flags.DurationVar(&f.options.Drain, "drain", 20*time.Second, "time in which answers are awaited after the window")
	flags.IntVar(&f.options.Resends, "resends", 0, "how often a caller tries again after a refusal")
	flags.Float64Var(&f.options.Capacity, "capacity", 0, "capacity in tokens/s instead of a measured one")
	flags.BoolVar(&f.options.SkipUnloaded, "skip-unloaded", false, "leave out the cells at a tenth of the capacity")
	flags.IntVar(&f.options.Parallel, "parallel", 1, "cells at a time; more than one only on a machine with idle cores")
	return c
}

func runExperiment(c *cobra.Command, f experimentFlags) error {
	if err := f.complete(); err != nil {
		return err
	}
	f.options.Progress = c.ErrOrStderr()
	if f.log != "" {
		log, err := os.Create(f.log)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		defer log.Close()
		f.options.Log = log
	}
	result, err := matrix.Run(c.Context(), f.options)
	if result == nil {
		return err
	}
	// An interrupted run still shows the cells that it finished.
	if showErr := f.show(c, result); showErr != nil {
		return showErr
	}
	if err != nil {
		return err
	}
	if n := result.ViolationCount(); n > 0 {
		return checkError{errors.Errorf("the router's policy broke %d promises", n)}
	}
	return nil
}

// show writes the result to all its places.
func (f *experimentFlags) show(c *cobra.Command, result *matrix.Result) error {
	if err := result.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	if f.json != "" {
		if err := writeFile(f.json, result.WriteJSON); err != nil {
			return err
		}
	}
	if f.plots != "" {
		return result.WritePlots(f.plots)
	}
	return nil
}

// complete turns the flags into options.
func (f *experimentFlags) complete() error {
	var err error
	if f.options.Deployment, err = f.readDeployment(); err != nil {
		return err
	}
	for _, name := range f.conditions {
		condition, err := matrix.ParseCondition(name)
		if err != nil {
			return errors.Wrap(err, "--condition")
		}
		f.options.Conditions = append(f.options.Conditions, condition)
	}
	for _, name := range f.policies {
		p := settings.Policy(name)
		if p != settings.Standard && p != settings.Baseline {
			return errors.Errorf("--policy %s: not a policy", name)
		}
		f.options.Policies = append(f.options.Policies, p)
	}
	for _, load := range f.loads {
		if load <= 0 {
			return errors.Errorf("--load %g: must be above 0", load)
		}
	}
	f.options.Loads = f.loads
	for _, seed := range f.seeds {
		f.options.Seeds = append(f.options.Seeds, uint64(seed))
	}
	return nil
}

func (f *experimentFlags) readDeployment() (*config.Deployment, error) {
	if f.config != "" {
		d, _, err := readConfig(f.config)
		return d, err
	}
	switch f.deployment {
	case "regie":
		return examples.Regie(), nil
	case "nilegate":
		return examples.Nilegate(), nil
	}
	return nil, errors.Errorf("--deployment %s: not a built-in deployment", f.deployment)
}

func writeFile(name string, write func(io.Writer) error) error {
	out, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write result")
	}
	if err := write(out); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "write result")
	}
	return errors.Wrap(out.Close(), "write result")
}
