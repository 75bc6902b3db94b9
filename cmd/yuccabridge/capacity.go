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

// newCapacity builds the command that measures slopes and prints what they mean at the
// target scale.
func newCapacity() *cobra.Command {
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of each part and derive the cost at the target scale",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return reportCapacity(c, "", "") },
	}
	c.AddCommand(newCapacityReport(), newCapacityMeasure(), newCapacityStandIn())
	return c
}

func newCapacityReport() *cobra.Command {
	var points, page string
	c := &cobra.Command{
		Use:   "report",
		Short: "Print the tables of docs/CAPACITY.md from the measured points",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return reportCapacity(c, points, page) },
	}
	c.Flags().StringVar(&points, "points", "", "file of measured points (default: those of the build)")
	c.Flags().StringVar(&page, "update", "", "page whose tables are replaced, such as docs/CAPACITY.md; nothing is printed then")
	return c
}

// reportCapacity prints the tables, or writes them into a page.
func reportCapacity(c *cobra.Command, points, page string) error {
	p, err := capacity.Stored()
	if points != "" {
		p, err = capacity.LoadPoints(points)
	}
	if err != nil {
		return err
	}
	tables, err := capacity.Report(p)
	if err != nil {
		return err
	}
	if page == "" {
		return tables.Write(c.OutOrStdout())
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	updated, err := tables.Update(string(text))
	if err != nil {
		return errors.Wrap(err, page)
	}
	return errors.Wrap(os.WriteFile(page, []byte(updated), 0o644), "write page")
}

func newCapacityMeasure() *cobra.Command {
	var points string
	var names []string
	for _, m := range capacity.Measurements() {
		names = append(names, "  "+m.Name+": "+m.About)
	}
	c := &cobra.Command{
		Use:   "measure [NAME ...]",
		Short: "Measure on this machine and store the points",
		Long:  "Measure on this machine, with bounded load on loopback, and store the points. Without a name everything is measured:\n\n" + strings.Join(names, "\n"),
		RunE:  func(c *cobra.Command, names []string) error { return measureCapacity(c, points, names) },
	}
	c.Flags().StringVar(&points, "points", capacity.DefaultFile, "file of measured points; measured series are replaced")
	return c
}

func measureCapacity(c *cobra.Command, file string, names []string) error {
	points, err := capacity.LoadPoints(file)
	if err != nil {
		return err
	}
	all := capacity.Measurements()
	for _, n := range names {
		if !slices.ContainsFunc(all, func(m capacity.Measurement) bool { return m.Name == n }) {
			return errors.Errorf("there is no measurement %q", n)
		}
	}
	r := capacity.NewRecorder(points, c.ErrOrStderr(), time.Now().Format(time.DateOnly), standInProcess)
	for _, m := range all {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		if err := r.Run(c.Context(), m); err != nil {
			return err
		}
		if err := points.Save(file); err != nil {
			return err
		}
	}
	return nil
}

// standInProcess runs this program again with the engines and callers of a measurement.
func standInProcess(ctx context.Context) *exec.Cmd {
	program, err := os.Executable()
	if err != nil {
		program = os.Args[0]
	}
	return exec.CommandContext(ctx, program, "capacity", "stand-in")
}

func newCapacityStandIn() *cobra.Command {
	return &cobra.Command{
		Use:    "stand-in",
		Short:  "Run engines and callers for a measurement, on commands from standard input",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return capacity.RunStandIn(c.Context(), c.InOrStdin(), c.OutOrStdout())
		},
	}
}
