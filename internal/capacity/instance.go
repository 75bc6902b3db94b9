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

// runningInstance is an entry instance in this process.
type runningInstance struct {
	*entry.Instance
	folder string
	stop   context.CancelFunc
	done   chan error
}

// startInstance starts an entry instance that reads the configuration from a file.
func startInstance(s shape, policy settings.Policy) (*runningInstance, error) {
	text, err := s.deployment().YAML()
	if err != nil {
		return nil, err
	}
	r := &runningInstance{done: make(chan error, 1)}
	if r.folder, err = os.MkdirTemp("", "yuccabridge-"); err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	file := filepath.Join(r.folder, "deployment.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "write configuration")
	}
	set := &settings.Settings{Instance: "entry-1", FailureDomain: "region-1-a", ConfigurationFile: file, Policy: policy,
		Callers: settings.Listener{Address: "127.0.0.1:0"}, Operations: settings.Listener{Address: "127.0.0.2:0"}}
	if err := set.Complete(); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if r.Instance, err = entry.New(set, log); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- r.Run(ctx) }()
	return r, nil
}

// close drains the instance.
func (r *runningInstance) close() error {
	r.stop()
	err := <-r.done
	os.RemoveAll(r.folder)
	return err
}
