package examples

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/yuccabridge/yuccabridge/config"
)

// DemoKey returns the bearer key of a team in the example deployments.
func DemoKey(team string) string { return "demo-key-" + team }

func team(name string, weight int, classes ...string) config.Team {
	digest := sha256.Sum256([]byte(DemoKey(name)))
	return config.Team{Name: name, Weight: weight, KeySHA256: []string{hex.EncodeToString(digest[:])}, Classes: classes}
}

// upstreams declares count upstreams on consecutive loopback ports, distributed evenly
// over the failure domains.
func upstreams(prefix string, count, firstPort int, domains []string) []config.Upstream {
	list := make([]config.Upstream, count)
	for i := range list {
		list[i] = config.Upstream{
			Name:          fmt.Sprintf("%s-%02d", prefix, i+1),
			Address:       fmt.Sprintf("127.0.0.1:%d", firstPort+i),
			FailureDomain: domains[i%len(domains)],
		}
	}
	return list
}
