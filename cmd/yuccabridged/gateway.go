package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/gateway"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	client "github.com/yuccabridge/yuccabridge/internal/transport/platform"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
	"github.com/yuccabridge/yuccabridge/platform"
)

const (
	// platformSilenceTimeout and platformProbeInterval bound the time until a dead connection
	// to the platform is detected.
	platformSilenceTimeout = 1500 * time.Millisecond
	platformProbeInterval  = 500 * time.Millisecond
)

func newGatewayCommand() *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "gateway --settings FILE",
		Short: "Forward requests according to the routes and upstreams published by the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := handleSignals(cmd.Context())
			s, err := settings.LoadGateway(settingsFile)
			if err != nil {
				return err
			}
			return runGateway(signals, s, settingsFile)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file in YAML (required)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return cmd
}

// runGateway runs the instance until SIGTERM or SIGINT, then drains it.
func runGateway(signals signalHandler, s *settings.Gateway, settingsFile string) error {
	limitMemory(s.MemoryMB)
	logWriter := eventlog.NewWriter(os.Stdout)
	defer logWriter.Close()
	log, err := eventlog.New(logWriter, s.Log.Level)
	if err != nil {
		return err
	}
	go checkSettingsOnHangup(signals.hangup, log, settingsFile, func(file string) error { _, err := settings.LoadGateway(file); return err })
	dial := upstream.Dialer(platformSilenceTimeout, platformProbeInterval)
	platformClient := client.New(client.Options{Address: s.Platform.Address, Dial: client.AdaptTCPDial(withDialTimeout(dial, gateway.StoreDialTimeout))})
	defer platformClient.Close()
	g, err := gateway.New(s, gateway.Adapter{
		Caller: platform.Protocol{}, Upstream: platform.Protocol{}, Store: platform.NewStore(platformClient), Decoder: platform.Decoder{},
	}, log)
	if err != nil {
		return err
	}
	return g.Run(signals.stop)
}

// withDialTimeout returns a dial function that limits each call of dial to timeout.
func withDialTimeout(dial dialFunc, timeout time.Duration) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, address)
	}
}

type dialFunc func(ctx context.Context, address string) (net.Conn, error)
