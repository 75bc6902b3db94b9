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

// newDemoCommand returns the command that runs a complete region for a few seconds.
func newDemoCommand() *cobra.Command {
	var configFile string
	var seed uint64
	var jsonFile string
	var forwarding bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a region with load and injected faults in one process",
		Long: "Run the platform stand-in, engines, plain services and eight entry instances in one process,\n" +
			"load them for 10 s with a burst, crash an engine and stop an entry instance, and report by class.\n" +
			"The exit code is 1 if a guarantee was violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if forwarding {
				return runForwardingDemo(cmd)
			}
			d := examples.Regie()
			if configFile != "" {
				var err error
				if d, _, err = readConfig(configFile); err != nil {
					return err
				}
			}
			report, err := demo.Run(cmd.Context(), demo.Options{Deployment: d, Seed: seed, Progress: terminalOrNil(cmd.ErrOrStderr())})
			if report != nil {
				if writeErr := printReport(cmd.OutOrStdout(), report, jsonFile); writeErr != nil {
					return writeErr
				}
			}
			if errors.Is(err, demo.ErrGuarantee) {
				return checkError{err}
			}
			return err
		},
	}
	cmd.Flags().StringVar(&configFile, "config", "", "deployment file (default: the built-in example regie)")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of arrivals and lengths")
	cmd.Flags().StringVar(&jsonFile, "json", "", "file for the report as JSON")
	cmd.Flags().BoolVar(&forwarding, "platform", false, "run the gateway with stand-ins for the platform and its upstreams instead, for 3 s")
	return cmd
}

// runForwardingDemo runs the demo of the gateway, which forwards requests by published
// routes.
func runForwardingDemo(cmd *cobra.Command) error {
	result, err := forwardingdemo.Run(cmd.Context())
	if err != nil && !errors.Is(err, forwardingdemo.ErrGuarantee) {
		return err
	}
	if writeErr := result.WriteSummary(cmd.OutOrStdout()); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return checkError{err}
	}
	return nil
}

// printReport prints the report and writes it to jsonFile as JSON if the name is set.
func printReport(w io.Writer, report *experiment.Report, jsonFile string) error {
	if err := report.WriteTable(w); err != nil {
		return err
	}
	if jsonFile == "" {
		return nil
	}
	return writeReportJSON(jsonFile, report)
}

// terminalOrNil returns w if it is a terminal and nil otherwise, so that progress output is
// not written to files.
func terminalOrNil(w io.Writer) io.Writer {
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
