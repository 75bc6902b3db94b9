package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccabridge/yuccabridge/internal/soak"
)

func newSoakCommand() *cobra.Command {
	var options soak.Options
	var runs int
	var faults string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run real instances under injected faults and check the guarantees",
		Long: "Start instances as separate processes with stand-ins for the platform and its upstreams,\n" +
			"inject faults determined by the seed, and check what callers and upstreams observe.\n" +
			"Settings and logs are kept in --dir if a guarantee was violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx := cmd.Context()
			if options.Instances < 1 || options.Upstreams < 1 || options.Duration <= 0 || runs < 1 {
				return errors.New("--instances, --upstreams, --duration and --runs must be positive")
			}
			options.Faults = soak.Faults(faults)
			plans := []soak.Faults{soak.MixedFaults, soak.RetryFaults, soak.LimitFaults, soak.EndlessFaults, soak.DrillFaults, soak.ReleaseFaults, soak.PartitionFaults, soak.StatementFaults, soak.RemovalFaults, soak.StopFaults, soak.EvacuationFaults}
			if !slices.Contains(plans, options.Faults) || options.Rate < 0 {
				return errors.Errorf("--faults must be one of %v, and --rate must not be negative", plans)
			}
			if options.Seed == 0 {
				options.Seed = rand.Uint64N(1 << 32)
			}
			parentDir, failedRuns := options.Dir, 0
			for range runs {
				options.Dir = filepath.Join(parentDir, fmt.Sprint(options.Seed))
				if err := os.MkdirAll(options.Dir, 0o700); err != nil {
					return errors.Wrap(err, "create directory")
				}
				report, err := soak.Run(ctx, options)
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), report)
				if len(report.Violations) > 0 {
					failedRuns++
					fmt.Fprintf(cmd.OutOrStdout(), "explain a request with: yuccabridge trace ID %s\n\n", filepath.Join(options.Dir, "*.log"))
				} else if err := os.RemoveAll(options.Dir); err != nil {
					return errors.Wrap(err, "remove logs")
				}
				options.Seed++
			}
			if failedRuns > 0 {
				return checkError{errors.Errorf("%d of %d runs violated a guarantee", failedRuns, runs)}
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", 0, "seed of the first run's fault schedule; 0: random")
	flags.IntVar(&runs, "runs", 1, "number of runs, with consecutive seeds")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "duration of the fault injection in each run")
	flags.IntVar(&options.Instances, "instances", 4, "number of instances")
	flags.IntVar(&options.Upstreams, "upstreams", 6, "number of upstreams")
	flags.IntVar(&options.Callers, "callers", 0, "callers of each instance; 0: 4")
	flags.StringVar(&faults, "faults", string(soak.MixedFaults), "fault plan: mixed, retries (several upstreams fail, pause or crash), limits (upstreams state limits), endless (upstreams send bytes without end), drill (the store comes back from an older copy, and upstreams end responses halfway or send malformed heads), releases (upstreams of other versions take the places of others, and callers go on with broken streams), partitions (instances lose their links to all upstreams), statements (upstreams state that they leave, or when to come back), removals (entries of upstreams that still serve are removed while instances lose the store), stops (instances are stopped in series, with hangups and stalls, while callers hold connections), or evacuations (a failure domain of upstreams is evacuated and taken back)")
	flags.Float64Var(&options.Rate, "rate", 0, "requests per second of all callers; 0: each pauses for 10 ms on average")
	flags.StringVar(&options.Daemon, "daemon", "yuccabridged", "path or name of the daemon executable")
	flags.StringVar(&options.OtherDaemon, "other-daemon", "", "path of another build of the daemon: every second instance starts with it, and each restart changes the build")
	flags.StringVar(&options.Dir, "dir", "soak", "directory for settings and logs")
	return cmd
}
