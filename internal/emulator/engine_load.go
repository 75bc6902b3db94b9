package emulator

import "time"

// LoadReport is the response to GET /load.
type LoadReport struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
}

// maxLoadSamples limits the history, which spans minutes at 25 ms per iteration.
const maxLoadSamples = 8192

type loadSample struct {
	at     time.Duration
	report LoadReport
}

// loadHistory keeps past reports, so that delayed ones can be served.
type loadHistory struct{ samples []loadSample }

// record appends a report if it differs from the newest one.
func (h *loadHistory) record(now time.Duration, r LoadReport) {
	if n := len(h.samples); n > 0 && h.samples[n-1].report == r {
		return
	}
	if len(h.samples) >= maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{at: now, report: r})
}

// at returns the report that was current at time t, or the oldest one if t is before it.
func (h *loadHistory) at(t time.Duration) LoadReport {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].at <= t || i == 0 {
			return h.samples[i].report
		}
	}
	return LoadReport{}
}

func (e *Engine) recordLoad() {
	e.loadHistory.record(e.now(), LoadReport{
		Incarnation: e.incarnationName(),
		Running:     len(e.batch.running),
		Waiting:     len(e.batch.waiting),
	})
}

// Load returns the load report as of EngineFaults.LoadLag ago.
func (e *Engine) Load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadHistory.at(e.now() - e.faults.LoadLag.Std())
}
