// Package quarantine refuses requests that crash upstreams.
package quarantine
