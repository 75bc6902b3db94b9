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

func newTraceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Explain the outcome of a request from the logs of the instances, one file per instance",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var logs [][]trace.Line
			for _, file := range args[1:] {
				lines, err := readRequestLog(file, args[0])
				if err != nil {
					return err
				}
				logs = append(logs, lines)
			}
			lines := trace.Merge(logs...)
			for _, line := range lines {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", line.Instance, line.Text)
			}
			fmt.Fprintln(cmd.OutOrStdout(), trace.Explain(lines))
			return nil
		},
	}
}

// readRequestLog reads the lines about a request from the log of one instance. The base
// name of the file is the name of the instance.
func readRequestLog(file, requestID string) ([]trace.Line, error) {
	log, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer log.Close()
	instance := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return trace.Read(log, instance, requestID)
}
