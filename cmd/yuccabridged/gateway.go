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
	// memoryLimitRatio is the fraction of the memory limit that is set as the soft limit of
	// the Go runtime, at which garbage collection becomes more frequent. The rest is reserved
	// for stacks, kernel buffers and the C library.
	memoryLimitRatio = 0.6
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
			s, err := settings.LoadGateway(settingsFile)
			if err != nil {
				return err
			}
			return runGateway(cmd.Context(), s, settingsFile)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file in YAML (required)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return cmd
}

// runGateway runs the instance until SIGTERM or SIGINT, then drains it.
func runGateway(ctx context.Context, s *settings.Gateway, settingsFile string) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMB) * 1e6))
	}
	logWriter := eventlog.NewWriter(os.Stdout)
	defer logWriter.Close()
	log, err := eventlog.New(logWriter, s.Log.Level)
	if err != nil {
		return err
	}
	go validateOnHangup(ctx, log, settingsFile)
	dial := upstream.Dialer(platformSilenceTimeout, platformProbeInterval)
	platformClient := client.New(client.Options{Address: s.Platform.Address, Dial: client.AdaptTCPDial(withDialTimeout(dial, gateway.StoreDialTimeout))})
	defer platformClient.Close()
	g, err := gateway.New(s, gateway.Adapter{
		Caller: platform.Protocol{}, Upstream: platform.Protocol{}, Store: platform.NewStore(platformClient), Decoder: platform.Decoder{},
	}, log)
	if err != nil {
		return err
	}
	return g.Run(ctx)
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

// validateOnHangup validates the settings file on each SIGHUP and logs the result. The
// settings of a running process do not change; routes and upstreams come from the platform.
func validateOnHangup(ctx context.Context, log *logrus.Logger, settingsFile string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			eventLog := log.WithFields(logrus.Fields{"event": eventlog.SettingsChecked, "file": settingsFile})
			if _, err := settings.LoadGateway(settingsFile); err != nil {
				eventLog.WithError(err).Error("the changed settings are invalid; the current settings stay in effect")
				continue
			}
			eventLog.Info("the changed settings are valid and take effect at the next restart")
		}
	}
}
