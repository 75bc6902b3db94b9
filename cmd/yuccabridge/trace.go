package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/trace"
)

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Explain one request from the logs of the instances, one file each",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var logs [][]trace.Line
			for _, file := range args[1:] {
				lines, err := traceFile(file, args[0])
				if err != nil {
					return err
				}
				logs = append(logs, lines)
			}
			lines := trace.Join(logs...)
			for _, l := range lines {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", l.Instance, l.Text)
			}
			fmt.Fprintln(cmd.OutOrStdout(), trace.Explain(lines))
			return nil
		},
	}
}

// traceFile reads the log of one instance, which the file is named after.
func traceFile(file, id string) ([]trace.Line, error) {
	log, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer log.Close()
	instance := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return trace.Read(log, instance, id)
}
