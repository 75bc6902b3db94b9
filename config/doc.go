// Package config declares a yuccabridge deployment: failure domains, request
// classes with latency targets and tiers, teams, models, upstreams and plain
// services with the operations that are not idempotent.
//
// Operators build a [Deployment] in Go and print it with [Deployment.YAML];
// instances read the same text with [Parse]. Both run the same validation, so
// that a configuration which prints is a configuration which instances accept.
// The YAML has a stable order: fields in the order of the structs, lists as the
// operator gave them.
package config
