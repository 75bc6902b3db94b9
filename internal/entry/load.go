package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// loadInterval is how often an engine in use is asked for its load.
const loadInterval = time.Second

// loadTimeout bounds one load query.
const loadTimeout = 500 * time.Millisecond

// maxLoadBytes bounds a load report.
const maxLoadBytes = 4 << 10

// loadState is the last load report of an upstream.
type loadState struct {
	incarnation string
}

type loadReport struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	AgeMS       int64  `json:"age_ms"`
}

// pollLoads asks the engines of the subset for their load.
func (p *pool) pollLoads(ctx context.Context) {
	if p.kind != modelPool {
		return
	}
	for _, u := range p.bal.Snapshot(p.in.now()) {
		go p.checkIncarnation(ctx, u.Upstream, false)
	}
}

// incarnation is the last incarnation that the upstream reported.
func (p *pool) incarnation(upstream string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads[upstream].incarnation
}

// checkIncarnation asks an engine for its load and returns the incarnation that it
// reports. It is empty when there is no report. A fresh connection is demanded where a
// connection has just failed.
func (p *pool) checkIncarnation(ctx context.Context, u balancer.Upstream, fresh bool) string {
	report, ok := p.queryLoad(ctx, u.Address, fresh)
	if !ok {
		return ""
	}
	p.mu.Lock()
	p.loads[u.Name] = loadState{incarnation: report.Incarnation}
	p.mu.Unlock()
	p.bal.ReportLoad(p.in.now(), u.Name, balancer.LoadReport{
		Incarnation: report.Incarnation,
		Running:     report.Running,
		Waiting:     report.Waiting,
		Age:         time.Duration(report.AgeMS) * time.Millisecond,
	})
	return report.Incarnation
}

// queryLoad asks over an open connection where one was used within the last two
// seconds, and over a fresh one when that fails: a query a second with a dial for each
// took half of the processor time of an idle instance.
func (p *pool) queryLoad(ctx context.Context, address string, fresh bool) (loadReport, bool) {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + "/load")
	call := upstream.Call{Request: req, FreshConnection: fresh, HeaderTimeout: loadTimeout}
	answer, err := p.client(address).Do(ctx, call)
	var f *upstream.Failure
	if errors.As(err, &f) && f.Reused {
		call.FreshConnection = true
		answer, err = p.client(address).Do(ctx, call)
	}
	if err != nil {
		return loadReport{}, false
	}
	a := attempt{answer: answer}
	body, err := a.readAll(maxLoadBytes, loadTimeout)
	answer.Release(err == nil)
	var report loadReport
	if err != nil || json.Unmarshal(body, &report) != nil {
		return loadReport{}, false
	}
	return report, true
}
