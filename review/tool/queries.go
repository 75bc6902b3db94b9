//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const zones = 4

// queries plays a tenant's screens that ask the same question again and again, copies at a time, beside less urgent and
// larger requests, and judges TIER after a disturbance of the servers.
func queries(w *world, servers, copies int, disturb func(list []*server)) string {
	var list []*server
	for i := range servers {
		s := &server{service: "llm", zone: fmt.Sprintf("zone-%d", i%zones), engine: true, slots: 64}
		s.handle = func(s *server, c net.Conn, r *http.Request, body []byte) bool {
			if r.URL.Path == "/dossier/plan" {
				return answerStream(300*time.Millisecond, 100*time.Millisecond, 10)(s, c, r, body)
			}
			return answerStream(150*time.Millisecond, 50*time.Millisecond, 8)(s, c, r, body)
		}
		s.start(w)
		list = append(list, s)
	}
	w.store.Put("op/config", map[string]any{"version": 7,
		"routes": []map[string]any{
			{"name": "query", "hostname": host, "path-prefix": "/query/", "kind": "streaming", "timeout-ms": 4000, "target-latency-ms": 500, "priority": 1, "service": "llm", "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 300},
			{"name": "dossier", "hostname": host, "path-prefix": "/dossier/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 2000, "priority": 2, "service": "llm", "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 800},
		},
		"services": []map[string]any{{"name": "llm", "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv-capacity-tokens": 232000}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "floor", "api-keys": []string{"key-floor"}}, {"name": "office", "api-keys": []string{"key-office"}}}})
	for i := range 2 {
		w.addNode(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i), nil, 134)
	}
	w.startAll()

	type seen struct {
		kind          string
		at            time.Duration
		served, begun bool
		refused       bool
	}
	var mu sync.Mutex
	var all []seen
	ask := func(n int, kind string, q call) {
		q.to = w.nodes[n%len(w.nodes)].frontAddress()
		at := time.Since(started)
		for attempt := range 2 { // the sheet allows one retry
			a := q.do()
			logf("%s %s attempt %d at %s: %s", kind, a.attempt, attempt, w.nodes[n%len(w.nodes)].name, a.text())
			mu.Lock()
			all = append(all, seen{kind, at, a.served(), a.served(), a.status == 503 || a.status == 429})
			mu.Unlock()
			if a.served() || a.status != 503 && a.status != 429 {
				return
			}
			left := q.deadline - (time.Since(started) - at)
			if a.retryAfter > left/3 {
				return
			}
			time.Sleep(a.retryAfter)
			q.deadline = left - a.retryAfter
			q.to = w.nodes[(n+1)%len(w.nodes)].frontAddress()
		}
	}
	var stop atomic.Bool
	var group sync.WaitGroup
	// Screens on the floor ask the same question again and again.
	every(100*time.Millisecond, &stop, &group, func(n int) {
		var burst sync.WaitGroup
		for range copies {
			burst.Go(func() {
				ask(n, "query", call{method: "POST", path: "/query/racks", key: "key-floor", usage: "2368,24", prefix: "5c1e07a2:568,91bd3f06:1800", deadline: 4 * time.Second, body: []byte(`{"question":"Which racks are free?"}`)})
			})
		}
		burst.Wait()
	})
	every(100*time.Millisecond, &stop, &group, func(n int) {
		ask(n, "dossier", call{method: "POST", path: "/dossier/plan", key: "key-office", usage: "9190,51", prefix: fmt.Sprintf("77aa01:6300,%s:2890", newID()), deadline: 6 * time.Second, body: []byte(`{"dossier":"` + newID() + `"}`)})
	})
	time.Sleep(6 * time.Second)
	disturb(list)
	back := time.Since(started)
	time.Sleep(20 * time.Second)
	stop.Store(true)
	group.Wait()

	// TIER: five calm seconds, from stable-window-ms after the servers are back.
	worst := ""
	for from := back + 3*time.Second; from+5*time.Second <= back+20*time.Second; from += time.Second {
		asked, nothing, begun := 0, 0, 0
		for _, s := range all {
			if s.at < from || s.at >= from+5*time.Second {
				continue
			}
			if s.kind == "query" {
				asked++
				if !s.served {
					nothing++
				}
			} else if s.begun {
				begun++
			}
		}
		logf("from %.1f s, five seconds: %d queries, %d of them got nothing, %d dossiers began", from.Seconds(), asked, nothing, begun)
		if nothing >= 10 && nothing*12 > asked && begun > 0 {
			worst = fmt.Sprintf("TIER: from second %.1f, %d of %d queries (priority 1) got nothing while %d dossiers (priority 2, 9,700 tokens to 2,608) began at the same service", from.Seconds(), nothing, asked, begun)
		}
	}
	return worst
}
