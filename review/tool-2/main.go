//go:build review

package main

import (
	"fmt"
	"os"
	"runtime"
)

var cases = map[string]func(r *record, trouble bool) (int, error){
	"deadly-request": deadlyRequest,
	"dark-servers":   darkServers,
}

func main() {
	runtime.LockOSThread() // the gateways end with the thread that has started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool-2 CASE RECORD")
		os.Exit(exitCantRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
