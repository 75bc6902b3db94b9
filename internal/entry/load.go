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

// loadPollInterval is how often the load of an engine in the balancer's subset is queried.
const loadPollInterval = time.Second

// loadQueryTimeout bounds one load query.
const loadQueryTimeout = 500 * time.Millisecond

// maxLoadReportBytes bounds the body of a load report.
const maxLoadReportBytes = 4 << 10

// loadState holds what is kept of an upstream's last load report.
type loadState struct {
	incarnation string
}

type loadReport struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	AgeMS       int64  `json:"age_ms"`
}

// pollLoads queries the load of the engines in the balancer's subset.
func (p *pool) pollLoads(ctx context.Context) {
	if p.kind != modelPool {
		return
	}
	for _, u := range p.balancer.Snapshot(p.instance.now()) {
		go p.refreshLoad(ctx, u.Upstream, false)
	}
}

// lastIncarnation returns the incarnation in the upstream's last load report, or "".
func (p *pool) lastIncarnation(upstream string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLoadReports[upstream].incarnation
}

// refreshLoad queries an engine's load, passes it to the balancer and returns the reported
// incarnation, or "" if the query failed. Callers require a new connection if a connection
// to the engine has just failed.
func (p *pool) refreshLoad(ctx context.Context, u balancer.Upstream, freshConnection bool) string {
	report, ok := p.queryLoad(ctx, u.Address, freshConnection)
	if !ok {
		return ""
	}
	p.mu.Lock()
	p.lastLoadReports[u.Name] = loadState{incarnation: report.Incarnation}
	p.mu.Unlock()
	p.balancer.ReportLoad(p.instance.now(), u.Name, balancer.LoadReport{
		Incarnation: report.Incarnation,
		Running:     report.Running,
		Waiting:     report.Waiting,
		Age:         time.Duration(report.AgeMS) * time.Millisecond,
	})
	return report.Incarnation
}

// queryLoad reuses a connection that was used within the last two seconds and falls back
// to a new one if that fails. One query per second, each with a dial, took half of the CPU
// time of an idle instance.
func (p *pool) queryLoad(ctx context.Context, address string, freshConnection bool) (loadReport, bool) {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + "/load")
	call := upstream.Call{Request: req, FreshConnection: freshConnection, HeaderTimeout: loadQueryTimeout}
	response, err := p.clientFor(address).Do(ctx, call)
	var f *upstream.Failure
	if errors.As(err, &f) && f.Reused {
		call.FreshConnection = true
		response, err = p.clientFor(address).Do(ctx, call)
	}
	if err != nil {
		return loadReport{}, false
	}
	a := attempt{response: response}
	body, err := a.readBody(maxLoadReportBytes, loadQueryTimeout)
	response.Release(err == nil)
	var report loadReport
	if err != nil || response.Response.StatusCode() != fasthttp.StatusOK || json.Unmarshal(body, &report) != nil {
		return loadReport{}, false
	}
	return report, true
}
