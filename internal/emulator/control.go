package emulator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Duration is a [time.Duration] that is encoded with its unit, such as "500ms".
type Duration time.Duration

// Std returns d as a [time.Duration].
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

// Action is a one-time operation that a control command triggers, such as a crash.
type Action string

// Actions that every stand-in supports.
const (
	// ActionCrash resets all connections and refuses new ones.
	ActionCrash Action = "crash"
	// ActionFreeze stops all work while connections stay open.
	ActionFreeze Action = "freeze"
	// ActionThaw ends a freeze.
	ActionThaw Action = "thaw"
	// ActionSilence permanently stops all traffic on the open connections without closing
	// them.
	ActionSilence Action = "silence"
	// ActionDrop resets the open connections; the stand-in keeps running.
	ActionDrop Action = "drop"
)

// Command is the body of POST /control. Absent fields change nothing.
type Command struct {
	// Faults holds the fault settings to change, as a JSON object of the fields of
	// [EngineFaults], [ServiceFaults] or [PlatformFaults].
	Faults json.RawMessage `json:"switches,omitempty"`
	// Action is the action to run, if any.
	Action Action `json:"do,omitempty"`
	// Duration is the time after which a crash or a freeze ends. Zero: a crash lasts
	// until the Restart method is called, a freeze until the thaw action.
	Duration Duration `json:"for,omitempty"`
	// Configuration is the text of a configuration to publish (platform only).
	Configuration string `json:"publish,omitempty"`
	// Instances replaces the list of instances (platform only).
	Instances json.RawMessage `json:"instances,omitempty"`
}

// Status is the response of /control.
type Status[S, C any] struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation,omitempty"`
	Faults      S      `json:"switches"`
	Counters    C      `json:"counters"`
}

// controllable is the part of a stand-in that the control endpoint uses.
type controllable interface {
	status() any
	apply(Command) error
	CrashFor(time.Duration)
	Crash()
}

// serveControl handles /control. The connection of the command is exempt from faults, so
// that the response arrives even when the command triggers a crash.
func (s *server) serveControl(ctx *fasthttp.RequestCtx, target controllable) {
	s.exempt(ctx.Conn().(*conn))
	ctx.SetConnectionClose()
	if ctx.IsPost() {
		var c Command
		err := json.Unmarshal(ctx.PostBody(), &c)
		if err == nil {
			err = target.apply(c)
		}
		if err == nil {
			err = s.runAction(c, target)
		}
		if err != nil {
			writeError(ctx, fasthttp.StatusBadRequest, "bad_command", err.Error())
			return
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, target.status())
}

func (s *server) runAction(c Command, target controllable) error {
	switch c.Action {
	case "":
	case ActionCrash:
		if c.Duration > 0 {
			target.CrashFor(c.Duration.Std())
		} else {
			target.Crash()
		}
	case ActionFreeze:
		s.frozen.set(true)
		if c.Duration > 0 {
			s.afterFunc(c.Duration.Std(), func() { s.frozen.set(false) })
		}
	case ActionThaw:
		s.frozen.set(false)
	case ActionSilence:
		s.silenceConnections()
	case ActionDrop:
		s.dropConnections()
	default:
		return errors.Errorf("unknown action %q", c.Action)
	}
	return nil
}

// mergeJSON returns current with the fields replaced that the JSON object text contains.
func mergeJSON[S any](current S, text json.RawMessage) (S, error) {
	if len(text) == 0 {
		return current, nil
	}
	err := json.Unmarshal(text, &current)
	return current, errors.Wrap(err, "switches")
}
