//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangup }

// hangup: a machine gets SIGHUP, because its settings file has changed, while it stops after SIGTERM. The
// process is started again after its end, as the platform does.
func hangup(w *world, trouble bool) string {
	const stops = 3
	for i := range 4 {
		s := &server{service: "orders", zone: fmt.Sprintf("zone-%d", i%2), slots: 24, handle: answerPlain(200*time.Millisecond, 800)}
		s.start(w)
	}
	w.store.Put("op/config", map[string]any{"version": 7,
		"routes": []map[string]any{
			{"name": "order", "hostname": host, "path-prefix": "/order/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": "orders", "max-attempts": 2, "public": false},
		},
		"services": []map[string]any{{"name": "orders", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "floor", "api-keys": []string{"key-floor"}}}})
	for i := range 2 {
		w.addNode(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i), nil, 134)
	}
	w.startAll()
	var stop atomic.Bool
	var group sync.WaitGroup
	var mu sync.Mutex
	counts, lost := map[string]int{}, 0
	// Each client keeps a connection to its machine and opens a new one when that closes. It goes to
	// the other machine when nothing listens.
	client := func(i int) {
		defer group.Done()
		at := i
		var cc *clientConn
		for !stop.Load() {
			n := w.nodes[at%len(w.nodes)]
			if cc == nil {
				var err error
				if cc, err = dialClient(n.frontAddress()); err != nil {
					at++
					time.Sleep(50 * time.Millisecond)
					continue
				}
			}
			a := call{method: "POST", path: "/order/run", key: "key-floor", deadline: 2500 * time.Millisecond, body: []byte(`{"order":"start"}`), conn: cc}.do()
			mu.Lock()
			switch {
			case a.served():
				counts["served"]++
			case a.status > 0:
				counts[fmt.Sprint(a.status)]++
			case hasRun(a.attempt):
				counts["run and not answered"]++
				lost++
				logf("LOST order %s at %s has run, and its connection ended without an answer: %v", a.attempt, n.name, a.err)
			default:
				counts["not run, no answer"]++
			}
			mu.Unlock()
			if a.status == 0 || a.close {
				cc.c.Close()
				cc = nil
			}
			time.Sleep(50 * time.Millisecond)
		}
		if cc != nil {
			cc.c.Close()
		}
	}
	for i := range 24 {
		group.Add(1)
		go client(i)
	}
	time.Sleep(5 * time.Second)
	for i := range stops {
		n := w.nodes[i%len(w.nodes)]
		logf("SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
		time.Sleep(time.Second)
		if trouble {
			logf("TROUBLE SIGHUP to %s", n.name)
			n.signal(syscall.SIGHUP)
		}
		select {
		case <-n.exited:
		case <-time.After(7 * time.Second): // grace-s is 8
			logf("SIGKILL to %s", n.name)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		time.Sleep(300 * time.Millisecond)
		n.start()
		time.Sleep(5 * time.Second)
	}
	stop.Store(true)
	group.Wait()
	logf("answers: %v", counts)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d orders that were passed on to a server got no answer while their machine stopped", lost)
	}
	return ""
}
