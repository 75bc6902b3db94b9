//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rotation asks each machine once a second whether it is ready; two misses take it out, as the platform does.
func rotation(w *world, stop *atomic.Bool, group *sync.WaitGroup) []*atomic.Bool {
	in := make([]*atomic.Bool, len(w.nodes))
	for i, n := range w.nodes {
		in[i] = new(atomic.Bool)
		in[i].Store(true)
		group.Add(1)
		go func() {
			defer group.Done()
			for misses := 0; !stop.Load(); time.Sleep(time.Second) {
				if n.isReady() {
					misses = 0
				} else {
					misses++
				}
				in[i].Store(misses < 2)
			}
		}()
	}
	return in
}

func init() { cases["late"] = late }

// late: a machine is stopped while clients hold connections that they have just opened and not used yet.
func late(w *world, trouble bool) string {
	const events, gap = 90, 100 * time.Millisecond
	for i := range 4 {
		s := &server{service: "llm", zone: fmt.Sprintf("zone-%d", i%2), engine: true, slots: 64, handle: answerStream(100*time.Millisecond, gap, events)}
		s.start(w)
	}
	w.store.Put("op/config", map[string]any{"version": 7,
		"routes": []map[string]any{
			{"name": "steps", "hostname": host, "path-prefix": "/steps/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 300, "priority": 0, "service": "llm", "max-attempts": 2, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 200},
		},
		"services": []map[string]any{{"name": "llm", "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv-capacity-tokens": 232000}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "floor", "api-keys": []string{"key-floor"}}}})
	for i := range 2 {
		w.addNode(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i), nil, 134)
	}
	w.startAll()
	var stop atomic.Bool
	var group sync.WaitGroup
	in := rotation(w, &stop, &group)
	var mu sync.Mutex
	counts, lost := map[string]int{}, 0
	var stoppedAt time.Duration
	// A client opens a connection ahead of its use, as connection pools do, and uses it up to 3.5 s later.
	every(100*time.Millisecond, &stop, &group, func(n int) {
		at := n % 2
		if !in[at].Load() {
			at = 1 - at
		}
		cc, err := dialClient(w.nodes[at].frontAddress())
		if err != nil {
			mu.Lock()
			counts["no connection"]++
			mu.Unlock()
			return
		}
		defer cc.c.Close()
		time.Sleep(time.Duration(n%8) * 500 * time.Millisecond)
		a := call{method: "POST", path: "/steps/next", key: "key-floor", usage: "715,279", prefix: fmt.Sprintf("31c0:172,%s:543", newID()), deadline: 15 * time.Second, body: []byte(`{"line":4}`), conn: cc}.do()
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.served():
			counts["served"]++
		case a.status > 0:
			counts[fmt.Sprint(a.status)]++
		case !hasRun(a.attempt):
			counts["not read"]++
		default:
			counts["cut"]++
			after := a.sentAt - stoppedAt
			logf("stream %s at %s, sent %.2f s after SIGTERM and run, was cut: %v", a.attempt, w.nodes[at].name, after.Seconds(), a.err)
			if at == 0 && stoppedAt > 0 && after > 3*time.Second {
				lost++
			}
		}
	})
	time.Sleep(6 * time.Second)
	if trouble {
		n := w.nodes[0]
		mu.Lock()
		stoppedAt = time.Since(started)
		mu.Unlock()
		logf("TROUBLE SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(8 * time.Second):
			logf("SIGKILL to %s", n.name)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		logf("it ended %.2f s after SIGTERM", (time.Since(started) - stoppedAt).Seconds())
		time.Sleep(300 * time.Millisecond)
		n.start()
	} else {
		time.Sleep(8 * time.Second)
	}
	time.Sleep(4 * time.Second)
	stop.Store(true)
	group.Wait()
	logf("answers: %v", counts)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d streams that were sent later than 3 s after the SIGTERM were passed on to a server and cut before their end", lost)
	}
	return ""
}
