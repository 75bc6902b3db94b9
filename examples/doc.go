// Package examples holds the configurations of two deployments, as their operators
// would write them with the config package. The YAML files beside the code are the
// printed form; a test keeps them equal to the code's output.
//
// Each team has one demo key, "demo-key-" followed by the team's name. The
// addresses are on the loopback interface, so that `yuccabridge emulate` can start
// stand-ins for all upstreams on one machine. Never use the keys elsewhere.
package examples
