package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/soak"
)

func newSoak() *cobra.Command {
	var o soak.Options
	var runs int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run real instances under injected faults and check the promises",
		Long: "Starts instances as separate processes beside stand-ins of the platform and its upstreams,\n" +
			"injects the faults that follow from the seed, and checks what callers and upstreams see.\n" +
			"Settings and logs are kept in --dir when a promise was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx := cmd.Context()
			if o.Instances < 1 || o.Upstreams < 1 || o.Duration <= 0 || runs < 1 {
				return errors.New("--instances, --upstreams, --duration and --runs must be above zero")
			}
			if o.Seed == 0 {
				o.Seed = rand.Uint64N(1 << 32)
			}
			dir, broken := o.Dir, 0
			for range runs {
				o.Dir = filepath.Join(dir, fmt.Sprint(o.Seed))
				if err := os.MkdirAll(o.Dir, 0o700); err != nil {
					return errors.Wrap(err, "create directory")
				}
				report, err := soak.Run(ctx, o)
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), report)
				if len(report.Violations) > 0 {
					broken++
					fmt.Fprintf(cmd.OutOrStdout(), "explain a request with: yuccabridge trace ID %s\n\n", filepath.Join(o.Dir, "*.log"))
				} else if err := os.RemoveAll(o.Dir); err != nil {
					return errors.Wrap(err, "remove logs")
				}
				o.Seed++
			}
			if broken > 0 {
				return checkError{errors.Errorf("%d of %d runs broke a promise", broken, runs)}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 0, "seed of the first run's plan of faults; 0: drawn")
	f.IntVar(&runs, "runs", 1, "number of runs, with consecutive seeds")
	f.DurationVar(&o.Duration, "duration", 20*time.Second, "how long faults are injected in each run")
	f.IntVar(&o.Instances, "instances", 4, "number of instances")
	f.IntVar(&o.Upstreams, "upstreams", 6, "number of upstreams")
	f.StringVar(&o.Daemon, "daemon", "yuccabridged", "program of the daemon")
	f.StringVar(&o.Dir, "dir", "soak", "directory for settings and logs")
	return cmd
}
