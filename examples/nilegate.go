package examples

import (
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// Nilegate returns the deployment of a rent index. Credit-desk memos have the highest
// priority. The objective is goodput: a late request is served as long as its deadline can
// be met.
func Nilegate() *config.Deployment {
	const memo, query, lookup, summary = "credit-desk-memos", "landlord-queries", "surveyor-lookups", "portfolio-summaries"
	domains := []string{"cai-a", "cai-b", "cai-c", "cai-d"}
	return &config.Deployment{
		Version: config.Version, Name: "nilegate", Region: "cai",
		Objective: config.Goodput, FailureDomains: domains,
		Classes: []config.Class{
			{Name: memo, Tier: 1,
				FirstTokenTarget:    config.Duration(1500 * time.Millisecond),
				TokenIntervalTarget: config.Duration(60 * time.Millisecond),
				Deadline:            config.Duration(15 * time.Second)},
			{Name: query, Tier: 2,
				FirstTokenTarget:    config.Duration(2 * time.Second),
				TokenIntervalTarget: config.Duration(80 * time.Millisecond),
				Deadline:            config.Duration(10 * time.Second)},
			{Name: lookup, Tier: 2,
				FirstTokenTarget:    config.Duration(2 * time.Second),
				TokenIntervalTarget: config.Duration(80 * time.Millisecond),
				Deadline:            config.Duration(10 * time.Second)},
			{Name: summary, Tier: 5,
				FirstTokenTarget: config.Duration(time.Minute),
				Deadline:         config.Duration(10 * time.Minute),
				MaxWait:          config.Duration(2 * time.Minute),
				RetryRatio:       0.05},
		},
		Teams: []config.Team{
			team("credit-desk", 4),
			team("landlord-portal", 4, query),
			team("surveyors", 3, lookup),
			team("portfolio", 2, summary, query),
			team("index-desk", 1, query, lookup),
			team("invoicing", 1, query),
			team("collections", 1, memo, query),
			team("audit", 1, memo, summary),
			team("valuation", 1, lookup, summary),
			team("tenant-support", 1, query),
		},
		Models: []config.Model{{Name: "memo-llm", Class: query,
			Upstreams: upstreams("memo", 12, 19001, domains)}},
		Services: []config.Service{{Name: "index-api", PathPrefix: "/index-api/", Class: query,
			NonIdempotent: []config.Operation{
				{Method: "POST", Path: "/index-api/indexes"},
				{Method: "POST", Path: "/index-api/invoices"},
			},
			Upstreams: upstreams("index", 4, 19101, domains)}},
		ClassRules: []config.ClassRule{
			{Team: "credit-desk", Class: memo},
			{Team: "surveyors", Class: lookup},
			{Team: "portfolio", Class: summary},
		},
	}
}
