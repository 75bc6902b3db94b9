package soak

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is the memory in bytes that a process may use, as on the users' machines.
	memoryLimit = 134e6
	// memorySampleInterval is the time between two samples of the memory of all instances.
	memorySampleInterval = 50 * time.Millisecond
)

// sampleMemory records the largest memory of the instances and checks it, until the returned function
// is called.
func (tb *testbed) sampleMemory() (stop func()) {
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		exceeded := make([]bool, len(tb.instances))
		ticker := time.NewTicker(memorySampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			for i, in := range tb.instances {
				memory := in.residentMemory()
				tb.largestMemory = max(tb.largestMemory, memory)
				if memory > memoryLimit && !exceeded[i] {
					exceeded[i] = true
					tb.addViolation("%s uses %d MB of memory, allowed are %d MB", in.name, memory/1e6, int(memoryLimit/1e6))
				}
			}
		}
	})
	return func() { close(done); sampling.Wait() }
}

// residentMemory returns the resident memory of the process in bytes; 0 if it does not run.
func (in *instance) residentMemory() int {
	in.mu.Lock()
	cmd := in.cmd
	in.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	text, err := os.ReadFile("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/statm")
	if err != nil {
		return 0 // the process has ended
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
