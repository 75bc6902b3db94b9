// Package settings reads the daemon's own settings file: who the instance is, where
// it listens, which files hold its keys and which limits protect it. What the
// router serves is not here but in the configuration (package config).
package settings
