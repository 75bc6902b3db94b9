package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// changeBound is the time within which an instance in touch knows a change: the freshness and
// a busy machine's delay.
const changeBound = freshness + 500*time.Millisecond

// checkNow checks what can be told as soon as the answer is there.
func (w *world) checkNow(o observation) {
	calm := w.instances[o.instance].troubles.calm(o.sent, margin)
	if calm && o.took > routeTimeout+lateness {
		w.violate("answered late: %v", o)
	}
	if calm && o.status == 0 && !o.reused {
		w.violate("connection closed without an answer: %v", o)
	}
	if o.status == http.StatusOK && o.err == nil {
		w.checkSuccess(o)
	}
	if o.status == http.StatusOK && o.err != nil && strings.HasPrefix(o.path, streamPrefix) && !strings.HasPrefix(wholeStream(), o.body) {
		w.violate("a broken stream has other events: %v: %q", o, o.body)
	}
	w.checkConfiguration(o)
}

func (w *world) checkSuccess(o observation) {
	switch {
	case !o.signed:
		w.violate("success without a signature: %v", o)
	case strings.HasPrefix(o.path, streamPrefix):
		if o.body != wholeStream() {
			w.violate("a stream that looks whole is not: %v: %q", o, o.body)
		}
	case !strings.HasPrefix(o.body, "answer of ") || !strings.HasSuffix(o.body, " to "+o.id):
		w.violate("another answer: %v: %q", o, o.body)
	}
}

// checkConfiguration checks that routes and keys are known in time. Answers to requests sent
// between a change and its bound may follow either configuration.
func (w *world) checkConfiguration(o observation) {
	if o.status == 0 || !w.inTouch(o.instance, o.sent) {
		return
	}
	w.mu.Lock()
	routes, keys := append([]published(nil), w.routes...), append([]published(nil), w.keys...)
	w.mu.Unlock()
	for _, r := range routes {
		if strings.HasPrefix(o.path, "/"+r.name+"/") {
			w.checkPublished(o, r, http.StatusNotFound)
		}
	}
	for _, k := range keys {
		if o.key == k.name {
			w.checkPublished(o, k, http.StatusUnauthorized)
		}
	}
}

func (w *world) checkPublished(o observation, p published, refused int) {
	switch {
	case !p.removed.IsZero() && o.sent.After(p.removed.Add(changeBound)) && o.status != refused:
		w.violate("%s was removed %v before: %v", p.name, o.sent.Sub(p.removed).Round(time.Millisecond), o)
	case p.removed.IsZero() && o.sent.After(p.added.Add(changeBound)) && o.status == refused:
		w.violate("%s was added %v before: %v", p.name, o.sent.Sub(p.added).Round(time.Millisecond), o)
	}
}

// checkRuns compares what callers were told with what has run.
func (w *world) checkRuns(all []observation) {
	runs := map[string][]standin.Execution{}
	for _, u := range w.upstreams {
		for _, r := range u.Executions() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	for _, o := range all {
		n := len(runs[o.id])
		switch {
		case strings.HasPrefix(o.path, orderPrefix) && n > 1:
			w.violate("an order ran %d times: %v", n, o)
		case promisesNotRun(o.status) && n > 0:
			w.violate("said not to have run, ran %d times: %v", n, o)
		case o.status == 0 && o.reused && n > 0 && w.instances[o.instance].troubles.calm(o.sent, margin):
			w.violate("connection closed on a request that was passed on: %v", o)
		}
	}
}
