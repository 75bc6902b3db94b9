// Package fleet runs a complete region in one process for the demo and the
// experiments: stand-ins for the platform, the engines and the plain services, and
// entry instances in every failure domain.
//
// All sockets listen on the loopback interface. The upstream addresses of the
// deployment are replaced by the addresses of the stand-ins.
package fleet
