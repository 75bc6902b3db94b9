//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	gatewayHost = "atelier.example"
	gatewayKey  = "key-of-planification"
	// gatewayMemoryMB is the memory limit in the settings, and the bound: the customers' machines end a process above it.
	gatewayMemoryMB = 72
	// gatewayDescriptors bounds the descriptors: as many connections of callers as the settings allow, and some for
	// upstreams, peers, the platform and the operations address.
	gatewayConnections = 400
	gatewayDescriptors = gatewayConnections + 100
)

// startGateway starts a store, an upstream and a daemon that forwards requests.
func startGateway(t *testing.T) (*daemon, func() bool) {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	u, err := standin.NewUpstream("i-a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	type object = map[string]any
	store.Put("op/config", object{"version": 1,
		"routes": []object{{"name": "r", "hostname": gatewayHost, "path-prefix": "/a/", "kind": "idempotent", "timeout-ms": 4000,
			"target-latency-ms": 500, "priority": 1, "service": "svc", "max-attempts": 2}},
		"services": []object{{"name": "svc", "health-path": "/health", "max-conns": 100}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []object{{"name": "planification", "api-keys": []string{gatewayKey}}}})
	store.Put("servers/i-a", u.StoreEntry("svc", "lanester", "ready", 64))
	d := startDaemon(t, "/readyz", []string{"gateway"}, fmt.Sprintf(
		"instance: front-1\nfailure_domain: lanester\nplatform: {address: %s}\nretries: {ratio: 1, slack: 100}\ndrain_delay: 50ms\nmemory_mb: %d\nmax_connections: %d\nlog: {level: error}\n",
		store.Address(), gatewayMemoryMB, gatewayConnections))
	var requests atomic.Int64
	return d, func() bool {
		r, err := standin.Request{Address: d.callers, Host: gatewayHost, Method: "POST", Path: "/a/x", ID: fmt.Sprint("ordinary-", requests.Add(1)), APIKey: gatewayKey,
			Timeout: 4 * time.Second, Body: strings.Repeat("x", 9000)}.Build(context.Background())
		if err != nil {
			t.Error(err)
			return false
		}
		return isAnswered(r)
	}
}

// isAnswered sends a request on a connection of its own and reports whether it succeeds.
func isAnswered(r *http.Request) bool {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: 5 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode/100 == 2
}

// Guards against callers that end an instance which forwards requests, or keep it from answering others.
func TestGatewaySurvivesCrowds(t *testing.T) {
	head := "POST /a/x HTTP/1.1\r\nHost: " + gatewayHost + "\r\nAttempt-Id: crowd\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + gatewayKey + "\r\n"
	for _, c := range crowdCases(head) {
		t.Run(c.name, func(t *testing.T) {
			d, ordinary := startGateway(t)
			expectSurvival(t, d, c, bounds{gatewayMemoryMB * 1_000_000, gatewayDescriptors}, ordinary)
		})
	}
}
