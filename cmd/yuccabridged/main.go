// Command yuccabridged is one entry instance of the router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// exitBadInput is the exit code for settings that cannot be used.
const exitBadInput = 2

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "yuccabridged: "+err.Error())
		os.Exit(exitBadInput)
	}
}

func command() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "yuccabridged --settings FILE",
		Short:         "Run one entry instance of the router",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			return run(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file in YAML (required)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	cmd.AddCommand(gatewayCommand())
	return cmd
}

// run serves until SIGTERM or SIGINT, then drains.
func run(ctx context.Context, s *settings.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log, err := eventlog.New(out, s.Log.Level)
	if err != nil {
		return err
	}
	in, err := entry.New(s, log)
	if err != nil {
		return err
	}
	return in.Run(ctx)
}
