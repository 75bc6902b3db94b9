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

// measureConfigsync measures what one change costs an instance in messages and bytes
// between peers, over the instances and over the size of the configuration, and what
// the periodic questions cost without a change.
func measureConfigsync(_ context.Context, r *Recorder) error {
	var calls, messages []Point
	for _, n := range []int{8, 40, 160} {
		f, err := simulateChange(n, 100)
		if err != nil {
			return err
		}
		x := float64(n)
		calls, messages = append(calls, Point{x, f.calls}), append(messages, Point{x, f.messages})
	}
	r.put("configsync.platform_calls", "instances in 2 domains", "1/s", calls)
	r.put("configsync.messages", "instances in 2 domains", "1", messages)
	var change, idle []Point
	for _, n := range []int{10, 100, 600, 3000, 10_000} {
		f, err := simulateChange(40, n)
		if err != nil {
			return err
		}
		change, idle = append(change, Point{float64(n), f.change}), append(idle, Point{float64(n), f.idle})
	}
	r.put("configsync.change_bytes", "upstreams, 40 instances", "B", change)
	r.put("configsync.idle_bytes", "upstreams, 40 instances", "B/s", idle)
	return nil
}

// changeFigures are those of one instance, except for the platform's calls.
type changeFigures struct {
	calls    float64 // at the platform, a second, without a change
	idle     float64 // bytes sent a second without a change
	change   float64 // bytes sent for one change
	messages float64 // sent for one change
}

// changeSimulation runs configuration machines in simulated time. Messages between
// peers arrive at once.
type changeSimulation struct {
	machines []*configsync.Machine
	peers    []configsync.Peer
	byID     map[[16]byte]int
	text     []byte
	revision uint64
	waiting  []waitingWatch
	calls    int
	messages int
	bytes    float64
}

type waitingWatch struct {
	machine int
	watch   configsync.Watch
	until   time.Duration
}

const (
	// changeStep is the time between steps of the simulation.
	changeStep = 10 * time.Millisecond
	// changeSettle is the time for the first revision to reach everyone.
	changeSettle = 20 * time.Second
	// changeObserve is the time of the observation without a change, and after one.
	changeObserve = 20 * time.Second
)

func simulateChange(instances, upstreams int) (changeFigures, error) {
	d := shape{upstreams: upstreams, teams: 100, models: min(upstreams, targetModels), domains: 2}.deployment()
	text, err := yaml.Marshal(d)
	if err != nil {
		return changeFigures{}, errors.Wrap(err, "print configuration")
	}
	s := &changeSimulation{text: text, revision: 1, byID: map[[16]byte]int{}}
	for i := range instances {
		p := configsync.Peer{ID: newMember(i, "a").Incarnation.Process, Domain: fmt.Sprint("domain-", i%2)}
		s.peers, s.byID[p.ID] = append(s.peers, p), i
		s.machines = append(s.machines, configsync.New(configsync.Options{Self: p, Validate: func([]byte) error { return nil }},
			mathrand.New(mathrand.NewPCG(uint64(i), 1))))
	}
	for i, m := range s.machines {
		if err := s.carryOut(0, i, m.SetMembers(0, s.peers)); err != nil {
			return changeFigures{}, err
		}
	}
	now := time.Duration(0)
	run := func(d time.Duration, done func() bool) error {
		for end := now + d; now < end && !done(); now += changeStep {
			if err := s.step(now); err != nil {
				return err
			}
		}
		return nil
	}
	never := func() bool { return false }
	if err := run(changeSettle, never); err != nil {
		return changeFigures{}, err
	}
	n, f := float64(instances), changeFigures{}
	calls, sent := s.calls, s.bytes
	if err := run(changeObserve, never); err != nil {
		return f, err
	}
	f.calls = float64(s.calls-calls) / changeObserve.Seconds()
	f.idle = (s.bytes - sent) / changeObserve.Seconds() / n
	// The first upstream of the first model gets another address.
	s.text = bytes.Replace(text, []byte("address: 10.0.0.0:"), []byte("address: 10.9.9.9:"), 1)
	s.revision++
	begun, sent, messages := now, s.bytes, s.messages
	if err := run(changeObserve, s.agree); err != nil {
		return f, err
	}
	if !s.agree() {
		return f, errors.New("the change did not reach every instance")
	}
	f.change = (s.bytes-sent)/n - f.idle*(now-begun).Seconds()
	f.messages = float64(s.messages-messages) / n
	return f, nil
}

func (s *changeSimulation) agree() bool {
	for _, m := range s.machines {
		if revision, _, _ := m.Current(); revision != s.revision {
			return false
		}
	}
	return true
}

// step ticks the machines and answers the watches that are due.
func (s *changeSimulation) step(now time.Duration) error {
	if now%peer.TickInterval == 0 {
		for i, m := range s.machines {
			if err := s.carryOut(now, i, m.Tick(now)); err != nil {
				return err
			}
		}
	}
	due := s.waiting
	s.waiting = nil
	for _, w := range due {
		result := configsync.Result{Status: configsync.NotModified}
		switch {
		case w.watch.After < s.revision:
			result = configsync.Result{Status: configsync.Changed, Revision: s.revision, Text: s.text}
		case now < w.until:
			s.waiting = append(s.waiting, w)
			continue
		}
		if err := s.carryOut(now, w.machine, s.machines[w.machine].ReceivePlatformResult(now, w.watch.ID, result)); err != nil {
			return err
		}
	}
	return nil
}

func (s *changeSimulation) carryOut(now time.Duration, from int, actions []configsync.Action) error {
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.Watch:
			s.calls++
			s.waiting = append(s.waiting, waitingWatch{from, a, now + a.Wait})
		case configsync.SendPush:
			if err := s.push(now, from, a); err != nil {
				return err
			}
		case configsync.SendPull:
			if err := s.pull(now, from, a); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *changeSimulation) push(now time.Duration, from int, a configsync.SendPush) error {
	if err := s.account(peerwire.ConfigPush{Push: a.Push}, peerwire.Done{}); err != nil {
		return err
	}
	to := s.byID[a.To]
	return s.carryOut(now, to, s.machines[to].ReceivePush(now, s.peers[from].ID, a.Push))
}

func (s *changeSimulation) pull(now time.Duration, from int, a configsync.SendPull) error {
	to := s.byID[a.To]
	answer := s.machines[to].ReceivePull(now, s.peers[from].ID, a.Pull)
	if err := s.account(peerwire.ConfigPull{Pull: a.Pull}, peerwire.ConfigPush{Push: answer}); err != nil {
		return err
	}
	return s.carryOut(now, from, s.machines[from].ReceivePush(now, a.To, answer))
}

// account adds a question and its answer.
func (s *changeSimulation) account(messages ...peerwire.Message) error {
	for _, m := range messages {
		b, err := frameBytes(m)
		if err != nil {
			return err
		}
		s.messages++
		s.bytes += b
	}
	return nil
}
