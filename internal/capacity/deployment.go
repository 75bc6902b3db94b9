package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// deploymentSize describes the size of a generated configuration.
type deploymentSize struct {
	upstreams, teams, models, domains int
	addresses                         []string // assigned to the upstreams in turn; generated when empty
}

// deployment generates a configuration. The upstreams are distributed round-robin over
// the models and the failure domains.
func (s deploymentSize) deployment() *config.Deployment {
	d := &config.Deployment{Version: 1, Name: "capacity", Region: "region-1", Objective: config.Attainment}
	for i := range max(s.domains, 1) {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("region-1-%c", 'a'+i))
	}
	for tier := 1; tier <= targetTiers; tier++ {
		d.Classes = append(d.Classes, config.Class{Name: fmt.Sprint("class-", tier), Tier: tier,
			FirstTokenTarget: config.Duration(20 * time.Second), TokenIntervalTarget: config.Duration(time.Second), Deadline: config.Duration(time.Minute)})
	}
	for i := range s.teams {
		digest := sha256.Sum256([]byte(teamKey(i)))
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%04d", i), Weight: 1 + i%9, KeySHA256: []string{hex.EncodeToString(digest[:])}})
	}
	for i := range s.models {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprint("m", i), Class: "class-1"})
	}
	for i := range s.upstreams {
		m := &d.Models[i%s.models]
		m.Upstreams = append(m.Upstreams, config.Upstream{Name: fmt.Sprintf("engine-%05d", i), Address: s.upstreamAddress(i),
			FailureDomain: d.FailureDomains[i/s.models%len(d.FailureDomains)]})
	}
	return d
}

func (s deploymentSize) upstreamAddress(i int) string {
	if len(s.addresses) > 0 {
		return s.addresses[i%len(s.addresses)]
	}
	return fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255)
}
