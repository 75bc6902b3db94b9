package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/config"
)

// readFile reads a file. Its errors start with the file name.
func readFile(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		var path *os.PathError
		if errors.As(err, &path) {
			err = path.Err
		}
		return nil, errors.Errorf("%s: %v", file, err)
	}
	return text, nil
}

// readConfig reads and validates a configuration file.
func readConfig(file string) (*config.Deployment, []byte, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	d, err := config.Parse(text)
	if err != nil {
		return nil, nil, errors.Errorf("%s: %v", file, err)
	}
	return d, text, nil
}

func newConfigCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check, print and compare configurations"}
	c.AddCommand(newConfigCheckCommand(), newConfigPrintCommand(), newConfigDiffCommand(), newConfigLintCommand())
	return c
}

func newConfigCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check that instances accept a configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readFile(args[0])
			if err != nil {
				return err
			}
			d, err := config.Parse(text)
			if err != nil {
				return checkError{errors.Errorf("%s: %v", args[0], err)}
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: ok (%s: %d classes, %d teams, %d models, %d services)\n",
				args[0], d.Name, len(d.Classes), len(d.Teams), len(d.Models), len(d.Services))
			return err
		},
	}
}

func newConfigPrintCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "print FILE",
		Short: "Print a configuration in its canonical form",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, _, err := readConfig(args[0])
			if err != nil {
				return err
			}
			text, err := d.YAML()
			if err != nil {
				return errors.Wrap(err, args[0])
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
}

func newConfigDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Compare two configurations by section and field",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			before, _, err := readConfig(args[0])
			if err != nil {
				return err
			}
			after, _, err := readConfig(args[1])
			if err != nil {
				return err
			}
			for _, change := range diffDeployments(before, after) {
				if _, err := fmt.Fprintln(c.OutOrStdout(), change); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
