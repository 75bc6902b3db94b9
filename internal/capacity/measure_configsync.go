package capacity

import (
	"bytes"
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// measureConfigsync measures the messages and bytes that an instance exchanges with its
// peers for one configuration change, over the number of instances and over the size of
// the configuration. It also measures the periodic revision queries without a change.
func measureConfigsync(_ context.Context, r *Recorder) error {
	var calls, messages []Point
	for _, n := range []int{8, 40, 160} {
		cost, err := simulateConfigChange(n, 100)
		if err != nil {
			return err
		}
		size := float64(n)
		calls, messages = append(calls, Point{size, cost.platformCallsPerSecond}), append(messages, Point{size, cost.changeMessages})
	}
	r.record("configsync.platform_calls", "instances in 2 domains", "1/s", calls)
	r.record("configsync.messages", "instances in 2 domains", "1", messages)
	var change, idle []Point
	for _, n := range []int{10, 100, 600, 3000, 10_000} {
		cost, err := simulateConfigChange(40, n)
		if err != nil {
			return err
		}
		change, idle = append(change, Point{float64(n), cost.changeBytes}), append(idle, Point{float64(n), cost.idleBytesPerSecond})
	}
	r.record("configsync.change_bytes", "upstreams, 40 instances", "B", change)
	r.record("configsync.idle_bytes", "upstreams, 40 instances", "B/s", idle)
	return nil
}

// configChangeCost holds figures per instance, except for the calls to the platform, which
// are those of all instances.
type configChangeCost struct {
	platformCallsPerSecond float64 // without a change, all instances together
	idleBytesPerSecond     float64 // sent without a change
	changeBytes            float64 // sent for one change
	changeMessages         float64 // sent for one change
}

// configSyncSimulation runs configsync state machines in simulated time. Messages between
// peers are delivered without delay.
type configSyncSimulation struct {
	machines       []*configsync.Machine
	peers          []configsync.Peer
	indexByID      map[[16]byte]int
	deploymentText []byte
	revision       uint64
	pendingWatches []pendingWatch
	platformCalls  int
	messages       int
	bytes          float64
}

type pendingWatch struct {
	machineIndex int
	watch        configsync.Watch
	expiresAt    time.Duration
}

const (
	// configSyncStep is the simulated time between steps.
	configSyncStep = 10 * time.Millisecond
	// configSyncWarmup lets the first revision reach all instances before the observation.
	configSyncWarmup = 20 * time.Second
	// configSyncObservation is the length of each of the two observations: without a change
	// and after one.
	configSyncObservation = 20 * time.Second
)

func simulateConfigChange(instances, upstreams int) (configChangeCost, error) {
	d := deploymentSize{upstreams: upstreams, teams: 100, models: min(upstreams, targetModels), domains: 2}.deployment()
	text, err := yaml.Marshal(d)
	if err != nil {
		return configChangeCost{}, errors.Wrap(err, "encode configuration")
	}
	s := &configSyncSimulation{deploymentText: text, revision: 1, indexByID: map[[16]byte]int{}}
	for i := range instances {
		p := configsync.Peer{ID: newMember(i, "a").Incarnation.Process, Domain: fmt.Sprint("domain-", i%2)}
		s.peers, s.indexByID[p.ID] = append(s.peers, p), i
		s.machines = append(s.machines, configsync.New(configsync.Options{Self: p, Validate: func([]byte) error { return nil }},
			mathrand.New(mathrand.NewPCG(uint64(i), 1))))
	}
	for i, m := range s.machines {
		if err := s.execute(0, i, m.SetMembers(0, s.peers)); err != nil {
			return configChangeCost{}, err
		}
	}
	now := time.Duration(0)
	run := func(d time.Duration, done func() bool) error {
		for end := now + d; now < end && !done(); now += configSyncStep {
			if err := s.step(now); err != nil {
				return err
			}
		}
		return nil
	}
	never := func() bool { return false }
	if err := run(configSyncWarmup, never); err != nil {
		return configChangeCost{}, err
	}
	n, cost := float64(instances), configChangeCost{}
	callsBefore, bytesBefore := s.platformCalls, s.bytes
	if err := run(configSyncObservation, never); err != nil {
		return cost, err
	}
	cost.platformCallsPerSecond = float64(s.platformCalls-callsBefore) / configSyncObservation.Seconds()
	cost.idleBytesPerSecond = (s.bytes - bytesBefore) / configSyncObservation.Seconds() / n
	// The change replaces the address of the first upstream of the first model.
	s.deploymentText = bytes.Replace(text, []byte("address: 10.0.0.0:"), []byte("address: 10.9.9.9:"), 1)
	s.revision++
	changedAt, bytesBefore, messagesBefore := now, s.bytes, s.messages
	if err := run(configSyncObservation, s.converged); err != nil {
		return cost, err
	}
	if !s.converged() {
		return cost, errors.New("the change did not reach every instance")
	}
	cost.changeBytes = (s.bytes-bytesBefore)/n - cost.idleBytesPerSecond*(now-changedAt).Seconds()
	cost.changeMessages = float64(s.messages-messagesBefore) / n
	return cost, nil
}

// converged reports whether all instances have the current revision.
func (s *configSyncSimulation) converged() bool {
	for _, m := range s.machines {
		if revision, _, _ := m.Current(); revision != s.revision {
			return false
		}
	}
	return true
}

// step ticks the machines and completes the watches that have a newer revision or have
// expired.
func (s *configSyncSimulation) step(now time.Duration) error {
	if now%peer.TickInterval == 0 {
		for i, m := range s.machines {
			if err := s.execute(now, i, m.Tick(now)); err != nil {
				return err
			}
		}
	}
	watches := s.pendingWatches
	s.pendingWatches = nil
	for _, w := range watches {
		result := configsync.Result{Status: configsync.NotModified}
		switch {
		case w.watch.After < s.revision:
			result = configsync.Result{Status: configsync.Changed, Revision: s.revision, Text: s.deploymentText}
		case now < w.expiresAt:
			s.pendingWatches = append(s.pendingWatches, w)
			continue
		}
		if err := s.execute(now, w.machineIndex, s.machines[w.machineIndex].ReceivePlatformResult(now, w.watch.ID, result)); err != nil {
			return err
		}
	}
	return nil
}

func (s *configSyncSimulation) execute(now time.Duration, from int, actions []configsync.Action) error {
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.Watch:
			s.platformCalls++
			s.pendingWatches = append(s.pendingWatches, pendingWatch{from, a, now + a.Wait})
		case configsync.SendPush:
			if err := s.sendPush(now, from, a); err != nil {
				return err
			}
		case configsync.SendPull:
			if err := s.sendPull(now, from, a); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *configSyncSimulation) sendPush(now time.Duration, from int, a configsync.SendPush) error {
	if err := s.countMessages(peerwire.ConfigPush{Push: a.Push}, peerwire.Done{}); err != nil {
		return err
	}
	receiver := s.indexByID[a.To]
	return s.execute(now, receiver, s.machines[receiver].ReceivePush(now, s.peers[from].ID, a.Push))
}

func (s *configSyncSimulation) sendPull(now time.Duration, from int, a configsync.SendPull) error {
	receiver := s.indexByID[a.To]
	response := s.machines[receiver].ReceivePull(now, s.peers[from].ID, a.Pull)
	if err := s.countMessages(peerwire.ConfigPull{Pull: a.Pull}, peerwire.ConfigPush{Push: response}); err != nil {
		return err
	}
	return s.execute(now, from, s.machines[from].ReceivePush(now, a.To, response))
}

// countMessages adds the messages and their bytes on the wire to the totals.
func (s *configSyncSimulation) countMessages(messages ...peerwire.Message) error {
	for _, m := range messages {
		b, err := frameWireBytes(m)
		if err != nil {
			return err
		}
		s.messages++
		s.bytes += b
	}
	return nil
}
