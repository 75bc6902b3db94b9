// Command print writes a small configuration to the standard output.
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

func main() {
	text, err := deployment().YAML()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Stdout.Write(text)
}

// digest is what the configuration holds in place of a bearer key.
func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func deployment() *config.Deployment {
	return &config.Deployment{
		Version:        config.Version,
		Name:           "small",
		Region:         "north",
		Objective:      config.Attainment,
		FailureDomains: []string{"north-a", "north-b"},
		Classes: []config.Class{
			{Name: "questions", Tier: 1,
				FirstTokenTarget:    config.Duration(time.Second),
				TokenIntervalTarget: config.Duration(60 * time.Millisecond),
				Deadline:            config.Duration(5 * time.Second)},
			{Name: "summaries", Tier: 5,
				FirstTokenTarget: config.Duration(time.Minute),
				Deadline:         config.Duration(10 * time.Minute),
				MaxWait:          config.Duration(2 * time.Minute)},
		},
		Teams: []config.Team{
			{Name: "desk", Weight: 3, KeySHA256: []string{digest("key-of-the-desk")}},
			{Name: "archive", KeySHA256: []string{digest("key-of-the-archive")}, Classes: []string{"summaries"}},
		},
		Models: []config.Model{{Name: "llm", Class: "questions", Upstreams: []config.Upstream{
			{Name: "llm-1", Address: "10.0.1.1:8000", FailureDomain: "north-a"},
			{Name: "llm-2", Address: "10.0.2.1:8000", FailureDomain: "north-b"},
		}}},
		Services: []config.Service{{Name: "billing", PathPrefix: "/billing/", Class: "questions",
			NonIdempotent: []config.Operation{{Method: "POST", Path: "/billing/invoices*"}},
			Upstreams:     []config.Upstream{{Name: "billing-1", Address: "10.0.1.9:8000", FailureDomain: "north-a"}}}},
		ClassRules: []config.ClassRule{{Team: "archive", Class: "summaries"}},
	}
}
