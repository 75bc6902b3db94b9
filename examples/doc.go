// Package examples contains the configurations of two deployments, written with the
// config package. The YAML files in this directory are the printed configurations; a test
// compares them with the output of the code.
//
// Each team has one demo key, "demo-key-" followed by the team name. The keys are public
// and must not be used elsewhere. The addresses are on the loopback interface, so that
// `yuccabridge emulate` can start stand-ins for all upstreams on one machine.
package examples
