package main

import (
	"context"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/capacity"
)

// newCapacityCommand returns the command that measures the cost per unit of load and
// extrapolates it to the target scale.
func newCapacityCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of each component and extrapolate it to the target scale",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return writeCapacityReport(c, "", "") },
	}
	c.AddCommand(newCapacityReportCommand(), newCapacityMeasureCommand(), newCapacityStandInCommand())
	return c
}

func newCapacityReportCommand() *cobra.Command {
	var pointsFile, pageFile string
	c := &cobra.Command{
		Use:   "report",
		Short: "Print the tables of docs/CAPACITY.md from the measured points",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return writeCapacityReport(c, pointsFile, pageFile) },
	}
	c.Flags().StringVar(&pointsFile, "points", "", "file of measured points (default: the points built into the program)")
	c.Flags().StringVar(&pageFile, "update", "", "update the tables in this file, such as docs/CAPACITY.md, instead of printing them")
	return c
}

// writeCapacityReport prints the tables, or replaces the tables of pageFile if it is set.
func writeCapacityReport(c *cobra.Command, pointsFile, pageFile string) error {
	points, err := capacity.EmbeddedPoints()
	if pointsFile != "" {
		points, err = capacity.LoadPoints(pointsFile)
	}
	if err != nil {
		return err
	}
	tables, err := capacity.Report(points)
	if err != nil {
		return err
	}
	if pageFile == "" {
		return tables.Write(c.OutOrStdout())
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		return errors.Wrap(err, "read tables file")
	}
	updated, err := tables.Update(string(text))
	if err != nil {
		return errors.Wrap(err, pageFile)
	}
	return errors.Wrap(os.WriteFile(pageFile, []byte(updated), 0o644), "write tables file")
}

func newCapacityMeasureCommand() *cobra.Command {
	var pointsFile string
	var descriptions []string
	for _, measurement := range capacity.Measurements() {
		descriptions = append(descriptions, "  "+measurement.Name+": "+measurement.About)
	}
	c := &cobra.Command{
		Use:   "measure [NAME ...]",
		Short: "Run measurements on this machine and store the points",
		Long:  "Run measurements on this machine, with bounded load on loopback, and store the points. Without a name all measurements run:\n\n" + strings.Join(descriptions, "\n"),
		RunE:  func(c *cobra.Command, names []string) error { return measureCapacity(c, pointsFile, names) },
	}
	c.Flags().StringVar(&pointsFile, "points", capacity.DefaultFile, "file of measured points; the series that are measured are replaced")
	return c
}

func measureCapacity(c *cobra.Command, pointsFile string, names []string) error {
	points, err := capacity.LoadPoints(pointsFile)
	if err != nil {
		return err
	}
	measurements := capacity.Measurements()
	for _, name := range names {
		if !slices.ContainsFunc(measurements, func(measurement capacity.Measurement) bool { return measurement.Name == name }) {
			return errors.Errorf("there is no measurement %q", name)
		}
	}
	recorder := capacity.NewRecorder(points, c.ErrOrStderr(), time.Now().Format(time.DateOnly), standInCommand)
	for _, measurement := range measurements {
		if len(names) > 0 && !slices.Contains(names, measurement.Name) {
			continue
		}
		if err := recorder.Run(c.Context(), measurement); err != nil {
			return err
		}
		if err := points.Save(pointsFile); err != nil {
			return err
		}
	}
	return nil
}

// standInCommand returns the command that runs the engines and callers of a measurement in
// a child process of this program.
func standInCommand(ctx context.Context) *exec.Cmd {
	program, err := os.Executable()
	if err != nil {
		program = os.Args[0]
	}
	return exec.CommandContext(ctx, program, "capacity", "stand-in")
}

func newCapacityStandInCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "stand-in",
		Short:  "Run engines and callers for a measurement, controlled by commands on standard input",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return capacity.RunStandIn(c.Context(), c.InOrStdin(), c.OutOrStdout())
		},
	}
}
