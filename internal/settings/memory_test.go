package settings

import (
	"strings"
	"testing"
)

const minimalGateway = "instance: front-1\nfailure_domain: lanester\ncallers: {address: 127.0.0.1:1}\noperations: {address: 127.0.0.1:2}\nplatform: {address: 127.0.0.1:3}\n"

// Guards against an instance that starts with settings whose memory callers can exceed, and against defaults that do not fit.
func TestMemoryOfCallersFitsTheLimit(t *testing.T) {
	for _, mb := range []string{"64", "72", "112", "134", "536"} {
		s, err := ParseGateway([]byte(minimalGateway + "memory_mb: " + mb + "\n"))
		if err != nil {
			t.Errorf("memory_mb %s: %v", mb, err)
			continue
		}
		if s.MaxConnections < 300 || s.MaxConnections > defaultGatewayConnections {
			t.Errorf("memory_mb %s: %d connections", mb, s.MaxConnections)
		}
	}
	refused := map[string]string{
		"memory_mb: 112\nmax_connections: 2000\n": "172.0 MB in sum",
		"memory_mb: 30\n":                         "24 MB for the process",
	}
	if limit := openFileLimit(); limit > 2*reservedDescriptors && limit < 1_000_000 {
		refused["max_connections: 1000000\n"] = "descriptors"
	}
	for text, want := range refused {
		if _, err := ParseGateway([]byte(minimalGateway + text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
