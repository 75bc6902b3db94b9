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
	configFile, deployment     string
	conditions                 []string
	policies                   []string
	loads                      []float64
	seeds                      []uint
	jsonFile, plotDir, logFile string
	options                    matrix.Options
}

// newExperimentCommand returns the command that compares the policies.
func newExperimentCommand() *cobra.Command {
	var f experimentFlags
	c := &cobra.Command{
		Use:   "experiment",
		Short: "Compare the router's policy with the baseline",
		Long: "Measure the router's policy and the baseline policy at several loads and conditions, each in a\n" +
			"separate region within this process. Loads are multiples of the engines' capacity, which is\n" +
			"measured first. The exit code is 1 if the router's policy violated a guarantee.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runExperiment(c, f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.deployment, "deployment", "regie", "built-in deployment: regie or nilegate")
	flags.StringVar(&f.configFile, "config", "", "deployment file instead of a built-in one")
	flags.StringSliceVar(&f.conditions, "condition", []string{string(matrix.Steady)}, "conditions: steady, burst, stragglers, crash, partition")
	flags.StringSliceVar(&f.policies, "policy", []string{string(settings.Standard), string(settings.Baseline)}, "policies: standard, baseline")
	flags.Float64SliceVar(&f.loads, "load", []float64{0.5, 1, 1.5, 3}, "loads as multiples of the capacity")
	flags.UintSliceVar(&f.seeds, "seed", []uint{1}, "seeds of arrivals and lengths")
	flags.StringVar(&f.jsonFile, "json", "", "file for the result as JSON")
	flags.StringVar(&f.plotDir, "plots", "", "directory for plots over load as SVG and PNG")
	flags.StringVar(&f.logFile, "log", "", "file for the log of the entry instances")
	flags.DurationVar(&f.options.Warmup, "warmup", 10*time.Second, "time before the measured window")
	flags.DurationVar(&f.options.Window, "window", 30*time.Second, "measured time")
	flags.DurationVar(&f.options.Drain, "drain", 20*time.Second, "time to wait for outstanding responses after the window")
	flags.IntVar(&f.options.Resends, "resends", 0, "how often a caller resends a rejected request")
	flags.Float64Var(&f.options.Capacity, "capacity", 0, "capacity in tokens/s, used instead of measuring it")
	flags.BoolVar(&f.options.SkipUnloaded, "skip-unloaded", false, "skip the cells at a tenth of the capacity")
	flags.IntVar(&f.options.Parallel, "parallel", 1, "number of cells run in parallel; use more than one only on a machine with idle cores")
	return c
}

func runExperiment(c *cobra.Command, f experimentFlags) error {
	if err := f.resolveOptions(); err != nil {
		return err
	}
	f.options.Progress = c.ErrOrStderr()
	if f.logFile != "" {
		log, err := os.Create(f.logFile)
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
	// An interrupted run still reports its completed cells.
	if writeErr := f.writeResult(c, result); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return err
	}
	if violations := result.ViolationCount(); violations > 0 {
		return checkError{errors.Errorf("the router's policy violated %d guarantees", violations)}
	}
	return nil
}

// writeResult prints the result as a table and writes the JSON file and the plots if they
// were requested.
func (f *experimentFlags) writeResult(c *cobra.Command, result *matrix.Result) error {
	if err := result.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	if f.jsonFile != "" {
		if err := writeFile(f.jsonFile, result.WriteJSON); err != nil {
			return err
		}
	}
	if f.plotDir != "" {
		return result.WritePlots(f.plotDir)
	}
	return nil
}

// resolveOptions validates the flags and converts them to options.
func (f *experimentFlags) resolveOptions() error {
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
		policy := settings.Policy(name)
		if policy != settings.Standard && policy != settings.Baseline {
			return errors.Errorf("--policy %s: unknown policy", name)
		}
		f.options.Policies = append(f.options.Policies, policy)
	}
	for _, load := range f.loads {
		if load <= 0 {
			return errors.Errorf("--load %g: must be positive", load)
		}
	}
	f.options.Loads = f.loads
	for _, seed := range f.seeds {
		f.options.Seeds = append(f.options.Seeds, uint64(seed))
	}
	return nil
}

func (f *experimentFlags) readDeployment() (*config.Deployment, error) {
	if f.configFile != "" {
		d, _, err := readConfig(f.configFile)
		return d, err
	}
	switch f.deployment {
	case "regie":
		return examples.Regie(), nil
	case "nilegate":
		return examples.Nilegate(), nil
	}
	return nil, errors.Errorf("--deployment %s: unknown built-in deployment", f.deployment)
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
