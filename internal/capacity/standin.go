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

// StandInCommand returns the command of a child process that runs RunStandIn on its standard input
// and output.
type StandInCommand func(ctx context.Context) *exec.Cmd

// command is a request to the child process, encoded as one JSON object per line.
type command struct {
	Op      string        `json:"op"`
	Engines int           `json:"engines,omitempty"`
	Decode  time.Duration `json:"decode,omitempty"`
	Load    loadSpec      `json:"load,omitempty"`
}

// Operations of the child process.
const (
	opEngines = "engines" // start engines and return their addresses
	opLoad    = "load"    // run a load to completion
	opOpen    = "open"    // start a load and reply once all its streams are open
	opCounts  = "counts"  // return the number of events received so far
	opWait    = "wait"    // wait for the load that opOpen started to complete
)

// reply is the result of a command.
type reply struct {
	Addresses []string   `json:"addresses,omitempty"`
	Events    int64      `json:"events,omitempty"`
	CPU       float64    `json:"cpu,omitempty"` // CPU seconds of the child process since its start
	Result    loadResult `json:"result,omitempty"`
	Error     string     `json:"error,omitempty"`
}

// standInProcess is the parent's handle for the child process.
type standInProcess struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	enc   *json.Encoder
	dec   *json.Decoder

	engineAddresses []string
}

func (r *Recorder) startStandIn(ctx context.Context) (*standInProcess, error) {
	if r.standInCommand == nil {
		return nil, errors.New("no command is configured for the child process")
	}
	s := &standInProcess{cmd: r.standInCommand(ctx)}
	var err error
	if s.stdin, err = s.cmd.StdinPipe(); err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s.cmd.Stderr = r.Log
	s.enc, s.dec = json.NewEncoder(s.stdin), json.NewDecoder(out)
	return s, errors.Wrap(s.cmd.Start(), "start stand-in")
}

// close closes the standard input of the child process, which makes it exit, and waits for
// it.
func (s *standInProcess) close() {
	s.stdin.Close()
	_ = s.cmd.Wait() // the exit status does not affect the measurement
}

// do sends a command to the child process and waits for the reply.
func (s *standInProcess) do(c command) (reply, error) {
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

// standInServer executes the commands in the child process.
type standInServer struct {
	engines  []*emulator.Engine
	openLoad *runningLoad
}

// RunStandIn executes the commands read from in and writes the replies to out until in
// ends.
func RunStandIn(ctx context.Context, in io.Reader, out io.Writer) error {
	s := &standInServer{}
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
		r.CPU = cpuTime().Seconds()
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write reply")
		}
	}
}

func (s *standInServer) stop() {
	for _, e := range s.engines {
		e.Stop()
	}
	s.engines = nil
}

func (s *standInServer) serve(ctx context.Context, c command) (reply, error) {
	switch c.Op {
	case opEngines:
		return s.startEngines(c)
	case opLoad:
		l := startLoad(ctx, c.Load)
		return reply{Result: l.wait()}, nil
	case opOpen:
		s.openLoad = startLoad(ctx, c.Load)
		return reply{}, s.openLoad.awaitStreamsOpen(ctx)
	case opCounts:
		if s.openLoad == nil {
			return reply{}, nil
		}
		return reply{Events: s.openLoad.events.Load()}, nil
	case opWait:
		return reply{Result: s.openLoad.wait()}, nil
	}
	return reply{}, errors.Errorf("unknown operation %q", c.Op)
}

// startEngines replaces the running engines. The new ones accept any number of requests and
// generate tokens at a fixed interval, so that they never limit the throughput of the router.
func (s *standInServer) startEngines(c command) (reply, error) {
	s.stop()
	var r reply
	const unlimited = 1 << 20
	for i := range c.Engines {
		e := emulator.NewEngine(emulator.EngineOptions{Name: fmt.Sprint("engine-", i), Seed: uint64(i), Performance: emulator.Performance{
			Slots: unlimited, TokenBudget: 1 << 40, PrefillPerToken: time.Nanosecond, DecodeInterval: c.Decode, FullSpeedBatch: unlimited}})
		if err := e.Start("127.0.0.1:0"); err != nil {
			return r, err
		}
		s.engines = append(s.engines, e)
		r.Addresses = append(r.Addresses, e.Addr())
	}
	return r, nil
}
