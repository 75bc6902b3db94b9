// Package fleet runs a whole region in one process: the platform, engines and plain
// services as stand-ins, and entry instances in every failure domain. The demo and
// the experiments use it.
//
// All sockets are on the loopback interface; addresses of the deployment are
// replaced by free ports.
package fleet
