package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
)

// signalHandler receives the signals of the process.
type signalHandler struct {
	stop   context.Context  // ends with SIGTERM or SIGINT
	hangup <-chan os.Signal // receives SIGHUP
}

// handleSignals handles SIGTERM, SIGINT and SIGHUP until the process has ended, so that none of them ends it while it
// starts or drains. It must be called before the settings are read: those that a later SIGHUP announces may not be
// the ones that were read.
func handleSignals(ctx context.Context) signalHandler {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	stop, _ := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	return signalHandler{stop: stop, hangup: hangup}
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
