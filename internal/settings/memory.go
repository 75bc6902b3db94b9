package settings

import (
	"fmt"
	"syscall"

	"github.com/yuccabridge/yuccabridge/config"
)

// Memory that callers can make an instance hold, in bytes, beside the bodies in progress.
const (
	// processMemoryBytes is what the process takes without callers: its code, the runtime, and what it knows of the
	// platform, the upstreams and its peers.
	processMemoryBytes = 24e6
	// connectionMemoryBytes is what an open connection of a caller takes: the buffers of the HTTP server (20 KiB to read, 4
	// to write, 8 for the beginning of a body), its goroutine, and a full receive buffer in the kernel.
	connectionMemoryBytes = 60e3
	// connectionMemoryShare is the part of the memory limit that connections may take by default. A quarter is left to
	// bodies and a fifth or more to the process.
	connectionMemoryShare = 0.35
	// bufferShare is the part of the memory limit that each of the two budgets for bodies may take: one in eight.
	bufferShare = 8
	// defaultBufferMB applies without a memory limit.
	defaultBufferMB = 64
	// reservedDescriptors are left to upstreams, peers, the platform, the operations address and files.
	reservedDescriptors = 512
)

// callerLimits are the settings that bound what callers can make an instance hold.
type callerLimits struct {
	memoryMB                     int // 0: no limit
	maxConnections               *int
	bufferMB, requestBufferMB    *int
	defaultConnections           int
	memoryField, connectionField string
}

// complete applies the defaults, which fit the memory and the descriptors of the process, and reports settings that do not.
func (l callerLimits) complete() error {
	connections, descriptors := l.defaultConnections, openFileLimit()
	if descriptors > 2*reservedDescriptors {
		connections = min(connections, descriptors-reservedDescriptors)
	}
	if l.memoryMB > 0 {
		connections = min(connections, int(connectionMemoryShare*float64(l.memoryMB)*1e6/connectionMemoryBytes))
		setDefault(l.bufferMB, max(l.memoryMB/bufferShare, 1))
		setDefault(l.requestBufferMB, max(l.memoryMB/bufferShare, 1))
	}
	setDefault(l.maxConnections, max(connections, 1))
	setDefault(l.bufferMB, defaultBufferMB)
	setDefault(l.requestBufferMB, defaultBufferMB)
	if descriptors > 2*reservedDescriptors && *l.maxConnections > descriptors-reservedDescriptors {
		return &config.FieldError{Field: l.connectionField, Reason: fmt.Sprintf("must leave %d of the %d descriptors of the process to upstreams, peers and the platform: %d",
			reservedDescriptors, descriptors, *l.maxConnections)}
	}
	if l.memoryMB == 0 {
		return nil
	}
	connectionsMB := connectionMemoryBytes * float64(*l.maxConnections) / 1e6
	if sum := processMemoryBytes/1e6 + connectionsMB + float64(*l.bufferMB+*l.requestBufferMB); sum > float64(l.memoryMB) {
		return &config.FieldError{Field: l.memoryField, Reason: fmt.Sprintf("must hold %.0f MB for the process, %.1f MB for %d connections, %d MB for bodies and %d MB for larger bodies of requests, %.1f MB in sum: %d",
			processMemoryBytes/1e6, connectionsMB, *l.maxConnections, *l.bufferMB, *l.requestBufferMB, sum, l.memoryMB)}
	}
	return nil
}

// openFileLimit returns the number of descriptors that the process may open; 0 if it is not known.
func openFileLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Max > 1<<31 {
		return 0
	}
	return int(limit.Max) // the runtime has raised the soft limit to the hard one
}
