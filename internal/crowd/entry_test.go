//go:build crowd

package crowd

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

const (
	entryKey = "key-of-planification"
	// entryMemoryMB is the memory limit in the settings, and the bound.
	entryMemoryMB    = 96
	entryConnections = 400
	entryDescriptors = entryConnections + 100
)

// startEntry starts an engine and an entry instance.
func startEntry(t *testing.T) (*daemon, func() bool) {
	t.Helper()
	digest := sha256.Sum256([]byte(entryKey))
	text := fmt.Sprintf(`version: 1
name: crowd
region: bretagne-sud
objective: attainment
failure_domains: [lanester]
classes:
  - {name: questions, tier: 1, first_token_target: 1s, token_interval_target: 200ms, deadline: 20s}
teams:
  - {name: planification, weight: 1, key_sha256: [%s]}
models:
  - name: atelier-llm
    class: questions
    upstreams:
      - {name: atelier-01, address: %s, failure_domain: lanester}
`, hex.EncodeToString(digest[:]), freeAddress(t))
	deployment, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := emulator.StartFleet(deployment, emulator.FleetOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	file := filepath.Join(t.TempDir(), "configuration.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := startDaemon(t, "/readyz", nil, fmt.Sprintf("instance: entry-1\nfailure_domain: lanester\nconfiguration_file: %s\n%s", file, entryLimits))
	return d, func() bool {
		body := `{"model":"atelier-llm","max_tokens":4,"messages":[{"role":"user","content":"Which racks fit tank 4?"}]}`
		r, err := http.NewRequest("POST", "http://"+d.callers+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return false
		}
		r.Header.Set("Authorization", "Bearer "+entryKey)
		return isAnswered(r)
	}
}

// entryLimits are the settings with the limits of the instance.
var entryLimits = fmt.Sprintf("limits: {memory_mb: %d, max_connections: %d, max_body_bytes: 1048576, read_timeout: 10s}\nlog: {level: error}\n", entryMemoryMB, entryConnections)

// Guards against callers that end an entry instance, or keep it from answering others.
func TestEntrySurvivesCrowds(t *testing.T) {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + entryKey + "\r\n"
	for _, c := range crowdCases(head) {
		t.Run(c.name, func(t *testing.T) {
			d, ordinary := startEntry(t)
			expectSurvival(t, d, c, bounds{entryMemoryMB * 1_000_000, entryDescriptors}, ordinary)
		})
	}
}
