package main

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/examples"
	"github.com/yuccabridge/yuccabridge/internal/demo"
	"github.com/yuccabridge/yuccabridge/internal/experiment"
	forwardingdemo "github.com/yuccabridge/yuccabridge/platform/standin/demo"
)

// newDemo builds the command that runs a whole region for a short while.
func newDemo() *cobra.Command {
	var file string
	var seed uint64
	var jsonFile string
	var forwarding bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a region with its load and faults in one process",
		Long: "Run the platform stand-in, engines, plain services and eight entry instances in one process,\n" +
			"load them for 10 s with a burst, crash an engine and stop an entry instance, and report by class.\n" +
			"The exit code is 1 when a promise was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if forwarding {
				return runForwardingDemo(cmd)
			}
			d := examples.Regie()
			if file != "" {
				var err error
				if d, _, err = readConfig(file); err != nil {
					return err
				}
			}
			report, err := demo.Run(cmd.Context(), demo.Options{Deployment: d, Seed: seed, Progress: terminal(cmd.ErrOrStderr())})
			if report != nil {
				if writeErr := showReport(cmd.OutOrStdout(), report, jsonFile); writeErr != nil {
					return writeErr
				}
			}
			if errors.Is(err, demo.ErrPromise) {
				return checkError{err}
			}
			return err
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "deployment file (default: the built-in example regie)")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of arrivals and lengths")
	cmd.Flags().StringVar(&jsonFile, "json", "", "file for the report as JSON")
	cmd.Flags().BoolVar(&forwarding, "platform", false, "run the forwarding path against stand-ins of a prepared platform instead, for 3 s")
	return cmd
}

// runForwardingDemo runs the demo of the forwarding path.
func runForwardingDemo(cmd *cobra.Command) error {
	result, err := forwardingdemo.Run(cmd.Context())
	if err != nil && !errors.Is(err, forwardingdemo.ErrPromise) {
		return err
	}
	if writeErr := result.Write(cmd.OutOrStdout()); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return checkError{err}
	}
	return nil
}

// showReport prints the report and stores it as JSON where a file is named.
func showReport(w io.Writer, r *experiment.Report, jsonFile string) error {
	if err := r.WriteTable(w); err != nil {
		return err
	}
	if jsonFile == "" {
		return nil
	}
	return writeReport(jsonFile, r)
}

// terminal returns w when it is a terminal, so that a progress line is not written to files.
func terminal(w io.Writer) io.Writer {
	f, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return f
}
