package emulator

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Path and header of the engine's control commands.
const (
	PathPlacement = "/placement"
	HeaderFence   = "X-Fence"
)

// roleMixed is the role of an engine without a command.
const roleMixed = "mixed"

// Placement is what an engine holds, and the body of POST /placement, which replaces it.
type Placement struct {
	// Version of the model. Empty in a command: the version stays.
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// Role is "prefill", "decode" or "mixed". Empty: mixed.
	Role string `json:"role"`
}

// PlacementReport is the answer to GET /placement and to an accepted command.
type PlacementReport struct {
	Placement
	Loading bool `json:"loading"`
	// Fence is the highest fencing number of the executed commands, or the last one
	// where the engine ignores the number.
	Fence       uint64 `json:"fence"`
	Incarnation string `json:"incarnation"`
}

// placementState is the engine's part of the placement. The engine's mutex guards it.
type placementState struct {
	held    Placement
	next    Placement // what the load in progress leads to
	loading bool
	load    int // number of the load in progress
	fence   uint64
}

// restartPlacement brings up a new incarnation. A load in progress counts as done,
// unless the engine restarts empty.
func (e *Engine) restartPlacement() {
	p := &e.placement
	p.load++
	if p.loading {
		p.held, p.loading = p.next, false
	}
	if e.incarnation > 1 && e.switches.RestartEmpty {
		p.held, p.fence = Placement{Role: roleMixed}, 0
	}
}

// Placement returns the engine's report.
func (e *Engine) Placement() PlacementReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placementReport()
}

func (e *Engine) placementReport() PlacementReport {
	p := e.placement
	r := PlacementReport{Placement: p.held, Loading: p.loading, Fence: p.fence, Incarnation: e.incarnationName()}
	r.Adapters = slices.Clone(r.Adapters)
	return r
}

// place executes a command; false when its fencing number is too low.
func (e *Engine) place(fence uint64, c Placement) (PlacementReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.placement
	if !e.switches.IgnoreFence && fence < p.fence {
		e.counters.PlacementRefused++
		return e.placementReport(), false
	}
	if c.Version == "" {
		c.Version = p.held.Version
	}
	loads := weightSets(p.held, c)
	e.counters.PlacementCommands++
	e.counters.WeightLoads += uint64(loads)
	p.fence, p.next, p.loading = fence, c, true
	p.load++
	if loads == 0 || e.switches.LoadTime <= 0 {
		p.held, p.loading = c, false
		return e.placementReport(), true
	}
	number, duration := p.load, time.Duration(loads)*e.switches.LoadTime.Std()
	e.server.after(duration, func() { e.loaded(number) })
	return e.placementReport(), true
}

// loaded ends a load, unless another command or a restart has replaced it.
func (e *Engine) loaded(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := &e.placement; p.load == number && p.loading {
		p.held, p.loading = p.next, false
	}
}

// weightSets counts the weight sets that a change reads. Adapters belong to a version.
func weightSets(from, to Placement) int {
	n := 0
	if from.Version != to.Version {
		n, from.Adapters = 1, nil
	}
	for _, a := range to.Adapters {
		if !slices.Contains(from.Adapters, a) {
			n++
		}
	}
	return n
}

// servePlacement handles /placement.
func (e *Engine) servePlacement(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		writeJSON(ctx, fasthttp.StatusOK, e.Placement())
		return
	}
	fence, err := strconv.ParseUint(string(ctx.Request.Header.Peek(HeaderFence)), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_fence", HeaderFence+" is not a number")
		return
	}
	var c Placement
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed_json", err.Error())
		return
	}
	if c.Role == "" {
		c.Role = roleMixed
	}
	report, ok := e.place(fence, c)
	if !ok {
		writeJSON(ctx, fasthttp.StatusConflict, report)
		return
	}
	writeJSON(ctx, fasthttp.StatusAccepted, report)
}
