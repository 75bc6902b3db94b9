// Package settings reads the settings file of a single daemon: the instance's identity,
// its listeners, key files and resource limits. Models, services and teams are defined in
// the deployment configuration (package config).
package settings
