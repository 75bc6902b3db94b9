package emulator

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Path and header of placement commands.
const (
	PathPlacement = "/placement"
	HeaderFence   = "X-Fence"
)

// roleMixed is the default role of an engine.
const roleMixed = "mixed"

// Placement is what an engine has loaded and its role. It is also the body of POST
// /placement, which replaces it.
type Placement struct {
	// Version is the version of the model. If empty in a command, the version stays.
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// Role is "prefill", "decode" or "mixed". Empty: mixed.
	Role string `json:"role"`
}

// PlacementReport is the response to GET /placement and to a placement command.
type PlacementReport struct {
	Placement
	Loading bool `json:"loading"`
	// Fence is the highest fencing number of the executed commands, or the last one if
	// EngineFaults.IgnoreFence is set.
	Fence       uint64 `json:"fence"`
	Incarnation string `json:"incarnation"`
}

// placementState is the placement of an engine. The engine's mutex guards it.
type placementState struct {
	current    Placement
	target     Placement // the placement after the load in progress
	loading    bool
	loadNumber int // identifies the latest load
	fence      uint64
}

// restartPlacement sets the placement of a new incarnation. A load that was in progress
// counts as finished, unless the engine restarts empty.
func (e *Engine) restartPlacement() {
	p := &e.placement
	p.loadNumber++
	if p.loading {
		p.current, p.loading = p.target, false
	}
	if e.incarnation > 1 && e.faults.RestartEmpty {
		p.current, p.fence = Placement{Role: roleMixed}, 0
	}
}

// Placement returns the placement report.
func (e *Engine) Placement() PlacementReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placementReport()
}

func (e *Engine) placementReport() PlacementReport {
	p := e.placement
	r := PlacementReport{Placement: p.current, Loading: p.loading, Fence: p.fence, Incarnation: e.incarnationName()}
	r.Adapters = slices.Clone(r.Adapters)
	return r
}

// executePlacement executes a command. It returns false if the fencing number is lower
// than that of an earlier command.
func (e *Engine) executePlacement(fence uint64, c Placement) (PlacementReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.placement
	if !e.faults.IgnoreFence && fence < p.fence {
		e.counters.PlacementRefused++
		return e.placementReport(), false
	}
	if c.Version == "" {
		c.Version = p.current.Version
	}
	loads := countWeightLoads(p.current, c)
	e.counters.PlacementCommands++
	e.counters.WeightLoads += uint64(loads)
	p.fence, p.target, p.loading = fence, c, true
	p.loadNumber++
	if loads == 0 || e.faults.LoadTime <= 0 {
		p.current, p.loading = c, false
		return e.placementReport(), true
	}
	number, duration := p.loadNumber, time.Duration(loads)*e.faults.LoadTime.Std()
	e.server.afterFunc(duration, func() { e.finishLoad(number) })
	return e.placementReport(), true
}

// finishLoad ends a load, unless a later command or a restart has superseded it.
func (e *Engine) finishLoad(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := &e.placement; p.loadNumber == number && p.loading {
		p.current, p.loading = p.target, false
	}
}

// countWeightLoads returns how many weight sets must be loaded for a change of placement.
// Adapters belong to a version, so a new version loads all of them again.
func countWeightLoads(from, to Placement) int {
	n := 0
	if from.Version != to.Version {
		n, from.Adapters = 1, nil
	}
	for _, adapter := range to.Adapters {
		if !slices.Contains(from.Adapters, adapter) {
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
	report, ok := e.executePlacement(fence, c)
	if !ok {
		writeJSON(ctx, fasthttp.StatusConflict, report)
		return
	}
	writeJSON(ctx, fasthttp.StatusAccepted, report)
}
