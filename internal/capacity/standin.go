package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// Spawner starts a second process that runs RunStandIn on its standard input and output.
type Spawner func(ctx context.Context) *exec.Cmd

// command is a request to the second process, one JSON object a line.
type command struct {
	Op      string        `json:"op"`
	Engines int           `json:"engines,omitempty"`
	Decode  time.Duration `json:"decode,omitempty"`
	Load    load          `json:"load,omitempty"`
}

// Operations of the second process.
const (
	opEngines = "engines" // start engines, answer with their addresses
	opLoad    = "load"    // run a load to its end
	opOpen    = "open"    // start a load and answer when its streams are open
	opCounts  = "counts"  // events received by the callers so far
	opWait    = "wait"    // wait for the end of the load that opOpen started
)

// reply answers a command.
type reply struct {
	Addresses []string   `json:"addresses,omitempty"`
	Events    int64      `json:"events,omitempty"`
	CPU       float64    `json:"cpu,omitempty"` // seconds of the second process since its start
	Result    loadResult `json:"result,omitempty"`
	Error     string     `json:"error,omitempty"`
}

// standIn is the second process as the first one sees it.
type standIn struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	enc *json.Encoder
	dec *json.Decoder

	engines []string // addresses
}

func (r *Recorder) startStandIn(ctx context.Context) (*standIn, error) {
	if r.spawn == nil {
		return nil, errors.New("no second process can be started here")
	}
	s := &standIn{cmd: r.spawn(ctx)}
	var err error
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s.cmd.Stderr = r.Log
	s.enc, s.dec = json.NewEncoder(s.in), json.NewDecoder(out)
	return s, errors.Wrap(s.cmd.Start(), "start stand-in")
}

// close ends the second process through the end of its input.
func (s *standIn) close() {
	s.in.Close()
	_ = s.cmd.Wait() // the result of the measurement does not depend on it
}

func (s *standIn) do(c command) (reply, error) {
	var r reply
	if err := s.enc.Encode(c); err != nil {
		return r, errors.Wrap(err, "stand-in")
	}
	if err := s.dec.Decode(&r); err != nil {
		return r, errors.Wrap(err, "stand-in")
	}
	if r.Error != "" {
		return r, errors.Errorf("stand-in: %s", r.Error)
	}
	return r, nil
}

// server is the second process.
type server struct {
	engines []*emulator.Engine
	running *runningLoad
}

// RunStandIn serves commands until the input ends.
func RunStandIn(ctx context.Context, in io.Reader, out io.Writer) error {
	s := &server{}
	defer s.stop()
	dec, enc := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var c command
		if err := dec.Decode(&c); err == io.EOF {
			return nil
		} else if err != nil {
			return errors.Wrap(err, "read command")
		}
		r, err := s.serve(ctx, c)
		if err != nil {
			r.Error = err.Error()
		}
		r.CPU = processorTime().Seconds()
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write answer")
		}
	}
}

func (s *server) stop() {
	for _, e := range s.engines {
		e.Stop()
	}
	s.engines = nil
}

func (s *server) serve(ctx context.Context, c command) (reply, error) {
	switch c.Op {
	case opEngines:
		return s.startEngines(c)
	case opLoad:
		l := startLoad(ctx, c.Load)
		return reply{Result: l.wait()}, nil
	case opOpen:
		s.running = startLoad(ctx, c.Load)
		return reply{}, s.running.awaitOpen(ctx)
	case opCounts:
		if s.running == nil {
			return reply{}, nil
		}
		return reply{Events: s.running.events.Load()}, nil
	case opWait:
		return reply{Result: s.running.wait()}, nil
	}
	return reply{}, errors.Errorf("unknown operation %q", c.Op)
}

// startEngines replaces the engines. They have room for every request and generate
// tokens at a fixed interval, so that they never limit the router.
func (s *server) startEngines(c command) (reply, error) {
	s.stop()
	var r reply
	const room = 1 << 20
	for i := range c.Engines {
		e := emulator.NewEngine(emulator.EngineOptions{Name: fmt.Sprint("engine-", i), Seed: uint64(i), Performance: emulator.Performance{
			Slots: room, TokenBudget: 1 << 40, PrefillPerToken: time.Nanosecond, DecodeInterval: c.Decode, FullSpeedBatch: room}})
		if err := e.Start("127.0.0.1:0"); err != nil {
			return r, err
		}
		s.engines = append(s.engines, e)
		r.Addresses = append(r.Addresses, e.Addr())
	}
	return r, nil
}
