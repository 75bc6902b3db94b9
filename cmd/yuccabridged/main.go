// Command yuccabridged runs an instance of the router.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// exitBadInput is the exit code for any error, such as invalid settings.
const exitBadInput = 2

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "yuccabridged: "+err.Error())
		os.Exit(exitBadInput)
	}
}

func newRootCommand() *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:           "yuccabridged --settings FILE",
		Short:         "Run an entry instance of the router",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := handleSignals(cmd.Context())
			s, err := settings.Load(settingsFile)
			if err != nil {
				return err
			}
			return run(signals, s, settingsFile)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file in YAML (required)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	cmd.AddCommand(newGatewayCommand())
	return cmd
}

// memoryLimitRatio is the fraction of the memory limit that is set as the soft limit of
// the Go runtime, at which garbage collection becomes more frequent. The rest is reserved
// for stacks, kernel buffers and the C library.
const memoryLimitRatio = 0.6

// limitMemory sets the soft limit of the runtime for a memory limit in 10^6 bytes; 0 means no limit.
func limitMemory(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(memoryMB) * 1e6))
	}
}

// run runs the entry instance until SIGTERM or SIGINT, then drains it.
func run(signals signalHandler, s *settings.Settings, settingsFile string) error {
	limitMemory(s.Limits.MemoryMB)
	logWriter := eventlog.NewWriter(os.Stdout)
	defer logWriter.Close()
	log, err := eventlog.New(logWriter, s.Log.Level)
	if err != nil {
		return err
	}
	go checkSettingsOnHangup(signals.hangup, log, settingsFile, func(file string) error { _, err := settings.Load(file); return err })
	instance, err := entry.New(s, log)
	if err != nil {
		return err
	}
	return instance.Run(signals.stop)
}
