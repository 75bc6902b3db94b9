//go:build review

package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

// platform ends a process that exceeds its memory, as the platform does, and starts it again.
func platform(n *node, stop *atomic.Bool, group *sync.WaitGroup) {
	group.Add(1)
	go func() {
		defer group.Done()
		for !stop.Load() {
			mb := n.residentMB()
			n.mu.Lock()
			n.peakMB = max(n.peakMB, mb)
			n.mu.Unlock()
			if mb > n.memoryMB {
				n.mu.Lock()
				n.killed++
				n.mu.Unlock()
				logf("%s has %d MB of %d MB and is killed", n.name, mb, n.memoryMB)
				n.signal(syscall.SIGKILL)
				<-n.exited
				if stop.Load() {
					return
				}
				time.Sleep(500 * time.Millisecond)
				n.start()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
}

// memory: many users come at once, with bodies of the size that the configuration allows.
func memory(w *world, trouble bool) string {
	const (
		usual, burst = 20, 44 // 2.2 times the usual
		bodyBytes    = 4194304
		length       = 40 * time.Second
	)
	for i := range 4 {
		s := &server{service: "orders", zone: fmt.Sprintf("zone-%d", i%2), slots: 24, handle: answerPlain(30*time.Millisecond, 800)}
		s.start(w)
	}
	w.store.Put("op/config", map[string]any{"version": 7,
		"routes": []map[string]any{
			{"name": "order", "hostname": host, "path-prefix": "/order/", "kind": "non_idempotent", "timeout-ms": 6000, "target-latency-ms": 150, "priority": 2, "service": "orders", "max-attempts": 2, "public": false},
		},
		"services": []map[string]any{{"name": "orders", "health-path": "/health", "max-conns": 400, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": bodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "floor", "api-keys": []string{"key-floor"}}}})
	for i := range 2 {
		w.addNode(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i), nil, 134)
	}
	w.startAll()
	var watching, stop atomic.Bool
	var watchers, group sync.WaitGroup
	for _, n := range w.nodes {
		platform(n, &watching, &watchers)
	}
	var mu sync.Mutex
	counts := map[string]int{}
	unanswered := 0
	// Each client keeps a connection and sends one request after the other.
	client := func(i int, until *atomic.Bool, body []byte, paced, pause time.Duration) {
		defer group.Done()
		n := w.nodes[i%len(w.nodes)]
		var cc *clientConn
		for uses := 0; !until.Load(); uses++ {
			if cc == nil {
				uses = 0
				var err error
				if cc, err = dialClient(n.frontAddress()); err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
			}
			a := call{method: "POST", path: "/order/run", key: "key-floor", deadline: 6 * time.Second, body: body, conn: cc, paced: paced}.do()
			mu.Lock()
			switch {
			case a.served():
				counts["served"]++
			case a.status > 0:
				counts[fmt.Sprint(a.status)]++
			case hasRun(a.attempt):
				counts["run and not answered"]++
				if uses > 0 {
					unanswered++
				}
				logf("order %s of %d bytes on a kept connection (request %d on it) to %s has run and got no answer: %v", a.attempt, len(body), uses+1, n.name, a.err)
			default:
				counts["not run, no answer"]++
			}
			mu.Unlock()
			if a.status == 0 || a.close || a.status >= 400 {
				cc.c.Close()
				cc = nil
				time.Sleep(max(a.retryAfter, 100*time.Millisecond))
			}
			time.Sleep(pause)
		}
		if cc != nil {
			cc.c.Close()
		}
	}
	large := bytes.Repeat([]byte("x"), bodyBytes)
	for i := range 16 {
		group.Add(1)
		go client(i, &stop, []byte(`{"order":"small"}`), 0, 20*time.Millisecond)
	}
	for i := range usual {
		group.Add(1)
		go client(i, &stop, large, time.Second, 500*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	for range 3 {
		var over atomic.Bool
		if trouble {
			extra := burst - usual
			logf("TROUBLE a burst: %d clients more beside %d", extra, usual)
			for i := range extra {
				group.Add(1)
				go client(i, &over, large, time.Second, 500*time.Millisecond)
			}
		}
		time.Sleep(5 * time.Second)
		over.Store(true)
		time.Sleep(4 * time.Second)
	}
	stop.Store(true)
	group.Wait()
	watching.Store(true)
	watchers.Wait()
	killed := 0
	for _, n := range w.nodes {
		logf("%s: peak %d MB of %d MB, killed %d times", n.name, n.peakMB, n.memoryMB, n.killed)
		killed += n.killed
	}
	logf("answers: %v", counts)
	if unanswered > 3 {
		return fmt.Sprintf("LOST: processes ended %d times for their memory, and %d orders that had come on kept connections and had run got no answer", killed, unanswered)
	}
	return ""
}
