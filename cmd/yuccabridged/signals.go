package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
)

// handleSignals returns a context that ends with SIGTERM or SIGINT, and a channel that receives SIGHUP. Both
// are handled until the process has ended, so that none of them ends it while it drains.
func handleSignals(ctx context.Context) (context.Context, <-chan os.Signal) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, _ = signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	return ctx, hangup
}

// checkSettingsOnHangup checks the settings file on each SIGHUP and logs the result. The settings of a running
// process do not change.
func checkSettingsOnHangup(hangup <-chan os.Signal, log *logrus.Logger, file string, check func(file string) error) {
	for range hangup {
		eventLog := log.WithFields(logrus.Fields{"event": eventlog.SettingsChecked, "file": file})
		if err := check(file); err != nil {
			eventLog.WithError(err).Error("the changed settings are invalid; the current settings stay in effect")
			continue
		}
		eventLog.Info("the changed settings are valid and take effect at the next restart")
	}
}
