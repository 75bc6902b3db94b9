// Package config defines the configuration of a yuccabridge deployment: failure
// domains, request classes with latency targets and tiers, teams, models,
// upstreams, and plain services with their non-idempotent operations.
//
// Operators build a [Deployment] in Go and encode it with [Deployment.YAML];
// instances decode the same text with [Parse]. Both run the same validation, so
// instances accept every configuration that can be encoded. The order of the YAML
// is stable: fields in struct order, list elements in the order given.
package config
