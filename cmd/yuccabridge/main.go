// Command yuccabridge is the operators' command-line tool. It checks, prints and compares
// configurations, shows the state of instances, runs stand-ins for a deployment and
// generates load against it.
//
// Exit codes: 0 success, 1 a check failed, 2 any other error, such as invalid input.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	exitCheckFailed = 1
	exitBadInput    = 2
)

// checkError reports a check that was run and failed.
type checkError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command given by args and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var failed checkError
	if errors.As(err, &failed) {
		return exitCheckFailed
	}
	return exitBadInput
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "yuccabridge",
		Short:         "Check configurations, show the state of instances, emulate a deployment and generate load",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newConfigCommand(), newEmulateCommand(), newLoadCommand(), newDemoCommand(), newStatusCommand(), newExperimentCommand(), newCapacityCommand(), newTraceCommand(), newSoakCommand())
	return root
}
