package emulator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Duration is a time span that JSON carries with its unit, such as "500ms".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Action is a fault or its end that a control command triggers.
type Action string

// The actions of all stand-ins.
const (
	// ActionCrash resets all connections and refuses new ones.
	ActionCrash Action = "crash"
	// ActionFreeze stops all work while connections stay open.
	ActionFreeze Action = "freeze"
	// ActionThaw ends a freeze.
	ActionThaw Action = "thaw"
	// ActionSilence makes the open connections silent for good.
	ActionSilence Action = "silence"
	// ActionDrop resets the open connections; the process lives on.
	ActionDrop Action = "drop"
)

// Command is the body of POST /control. Fields that are absent change nothing.
type Command struct {
	// Switches sets the given switches of the stand-in.
	Switches json.RawMessage `json:"switches,omitempty"`
	// Do triggers an action.
	Do Action `json:"do,omitempty"`
	// For ends a crash or a freeze after this time. Zero: a crash lasts until the
	// method Restart is called, a freeze until the action thaw.
	For Duration `json:"for,omitempty"`
	// Publish is a configuration text to publish (platform only).
	Publish string `json:"publish,omitempty"`
	// Instances replaces the list of instances (platform only).
	Instances json.RawMessage `json:"instances,omitempty"`
}

// Status is the answer of /control.
type Status[S, C any] struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation,omitempty"`
	Switches    S      `json:"switches"`
	Counters    C      `json:"counters"`
}

// controlled is what the control endpoint needs from a stand-in.
type controlled interface {
	status() any
	apply(Command) error
	CrashFor(time.Duration)
	Crash()
}

// serveControl handles /control. Its own connection is exempt from the faults that
// the command triggers, so that the answer arrives.
func (s *server) serveControl(ctx *fasthttp.RequestCtx, target controlled) {
	s.forget(ctx.Conn().(*conn))
	ctx.SetConnectionClose()
	if ctx.IsPost() {
		var c Command
		err := json.Unmarshal(ctx.PostBody(), &c)
		if err == nil {
			err = target.apply(c)
		}
		if err == nil {
			err = s.act(c, target)
		}
		if err != nil {
			writeError(ctx, fasthttp.StatusBadRequest, "bad_command", err.Error())
			return
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, target.status())
}

func (s *server) act(c Command, target controlled) error {
	switch c.Do {
	case "":
	case ActionCrash:
		if c.For > 0 {
			target.CrashFor(c.For.Std())
		} else {
			target.Crash()
		}
	case ActionFreeze:
		s.frozen.set(true)
		if c.For > 0 {
			s.after(c.For.Std(), func() { s.frozen.set(false) })
		}
	case ActionThaw:
		s.frozen.set(false)
	case ActionSilence:
		s.silence()
	case ActionDrop:
		s.drop()
	default:
		return errors.Errorf("unknown action %q", c.Do)
	}
	return nil
}

// overlay sets the fields that text names and keeps the others.
func overlay[S any](current S, text json.RawMessage) (S, error) {
	if len(text) == 0 {
		return current, nil
	}
	err := json.Unmarshal(text, &current)
	return current, errors.Wrap(err, "switches")
}
