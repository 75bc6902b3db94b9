package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/gateway"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	client "github.com/yuccabridge/yuccabridge/internal/transport/platform"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
	"github.com/yuccabridge/yuccabridge/platform"
)

const (
	// memoryShare is the part of the allowed memory at which the collector works harder;
	// the rest is for stacks, buffers of the kernel and the C library.
	memoryShare = 0.6
	// storeSilent and storeProbe bound how long a silent connection to the platform goes
	// unnoticed.
	storeSilent = 1500 * time.Millisecond
	storeProbe  = 500 * time.Millisecond
)

func gatewayCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway --settings FILE",
		Short: "Forward requests by the routes and upstreams that the platform publishes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			return runGateway(cmd.Context(), s, file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file in YAML (required)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return cmd
}

// runGateway serves until SIGTERM or SIGINT, then drains.
func runGateway(ctx context.Context, s *settings.Gateway, file string) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * 1e6))
	}
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log, err := eventlog.New(out, s.Log.Level)
	if err != nil {
		return err
	}
	go logReloads(ctx, log, file)
	dial := upstream.Dialer(storeSilent, storeProbe)
	store := client.New(client.Options{Address: s.Platform.Address, Dial: client.WithoutNetwork(limited(dial, gateway.StoreDialTimeout))})
	defer store.Close()
	g, err := gateway.New(s, gateway.Adapter{
		Caller: platform.Headers{}, Upstream: platform.Headers{}, Store: platform.NewStore(store), Decoder: platform.Entries{},
	}, log)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}

// limited bounds each dial.
func limited(dial dialer, limit time.Duration) dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return dial(ctx, address)
	}
}

type dialer func(ctx context.Context, address string) (net.Conn, error)

// logReloads checks the settings file whenever the process is told that it has changed.
// The settings of a running process stay: routes and upstreams come from the platform.
func logReloads(ctx context.Context, log *logrus.Logger, file string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			entry := log.WithFields(logrus.Fields{"event": eventlog.SettingsChecked, "file": file})
			if _, err := settings.LoadGateway(file); err != nil {
				entry.WithError(err).Error("the changed settings are not valid; the process goes on with its own")
				continue
			}
			entry.Info("the changed settings are valid and take effect at the next start")
		}
	}
}
