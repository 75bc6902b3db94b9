package capacity

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// runningInstance is an entry instance that runs in this process.
type runningInstance struct {
	*entry.Instance
	dir    string
	cancel context.CancelFunc
	done   chan error
}

// startInstance starts an entry instance that reads its configuration from a file.
func startInstance(s deploymentSize, policy settings.Policy) (*runningInstance, error) {
	text, err := s.deployment().YAML()
	if err != nil {
		return nil, err
	}
	r := &runningInstance{done: make(chan error, 1)}
	if r.dir, err = os.MkdirTemp("", "yuccabridge-"); err != nil {
		return nil, errors.Wrap(err, "create temporary directory")
	}
	file := filepath.Join(r.dir, "deployment.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "write configuration")
	}
	instanceSettings := &settings.Settings{Instance: "entry-1", FailureDomain: "region-1-a", ConfigurationFile: file, Policy: policy,
		Callers: settings.Listener{Address: "127.0.0.1:0"}, Operations: settings.Listener{Address: "127.0.0.2:0"}}
	if err := instanceSettings.Complete(); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if r.Instance, err = entry.New(instanceSettings, log); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.done <- r.Run(ctx) }()
	return r, nil
}

// close shuts the instance down gracefully and removes its directory.
func (r *runningInstance) close() error {
	r.cancel()
	err := <-r.done
	os.RemoveAll(r.dir)
	return err
}
