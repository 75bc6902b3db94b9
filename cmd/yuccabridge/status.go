package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/gateway"
)

const (
	// maxStateBytes limits the size of a /state response.
	maxStateBytes = 8 << 20
	// maxParallelQueries limits how many instances are queried at the same time.
	maxParallelQueries = 32
	// defaultStatusTimeout is the default time limit of one query.
	defaultStatusTimeout = 3 * time.Second
)

type statusFlags struct {
	instances []string
	domain    bool
	all       bool
	json      bool
	timeout   time.Duration
}

// instanceStatus is the result of querying one address.
type instanceStatus struct {
	Address string       `json:"address"`
	State   *entry.State `json:"state,omitempty"`
	Error   string       `json:"error,omitempty"`
	// Evacuations are the evacuations of failure domains that an instance which forwards requests knows of.
	Evacuations []gateway.EvacuationState `json:"evacuations,omitempty"`
}

func newStatusCommand() *cobra.Command {
	var f statusFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the state of entry instances",
		Long: "Show the state of entry instances, read from /state of their operations listeners.\n" +
			"With --domain or --all, the members known to the queried instances are listed as well,\n" +
			"in the state seen by the queried instance; the members themselves are not queried.\n" +
			"The exit code is 1 if a queried instance cannot be reached or is not ready.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runStatus(c, f) },
	}
	c.Flags().StringSliceVar(&f.instances, "instance", []string{"127.0.0.1:8081"}, "operations address of an instance; may be repeated")
	c.Flags().BoolVar(&f.domain, "domain", false, "also list the known members in the instance's failure domain")
	c.Flags().BoolVar(&f.all, "all", false, "also list all known members")
	c.Flags().BoolVar(&f.json, "json", false, "print the states as JSON")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultStatusTimeout, "time limit of one query")
	c.MarkFlagsMutuallyExclusive("domain", "all")
	return c
}

func runStatus(c *cobra.Command, f statusFlags) error {
	for _, address := range f.instances {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("--instance %s: not an IP address with port", address)
		}
	}
	if f.timeout <= 0 {
		return errors.Errorf("--timeout %s: must be positive", f.timeout)
	}
	statuses := queryAll(c.Context(), f.instances, f.timeout)
	if err := writeStatus(c.OutOrStdout(), statuses, f); err != nil {
		return err
	}
	return checkStatus(statuses)
}

// queryAll queries the instances in parallel and returns the results in the order of
// addresses.
func queryAll(ctx context.Context, addresses []string, timeout time.Duration) []instanceStatus {
	client := &http.Client{Timeout: timeout}
	defer client.CloseIdleConnections()
	statuses := make([]instanceStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for i, address := range addresses {
		group.Go(func() error {
			statuses[i].Address = address
			state, err := queryState(ctx, client, address)
			if err != nil {
				statuses[i].Error = conciseReason(err)
				return nil
			}
			statuses[i].State, statuses[i].Evacuations = &state.State, state.Evacuations
			return nil
		})
	}
	_ = group.Wait() // errors are recorded in statuses
	return statuses
}

// queriedState is the state of an instance of either kind, as far as it is shown.
type queriedState struct {
	entry.State
	Evacuations []gateway.EvacuationState `json:"evacuations"`
}

func queryState(ctx context.Context, client *http.Client, address string) (*queriedState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("/state answers with status %d", resp.StatusCode)
	}
	state := new(queriedState)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(state); err != nil {
		return nil, errors.New("/state is not the state of an instance")
	}
	if state.Instance == "" {
		return nil, errors.New("/state is not the state of an instance")
	}
	return state, nil
}

// conciseReason returns the cause of err on one line, without the request's method, URL
// and socket addresses.
func conciseReason(err error) string {
	var errno syscall.Errno
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &errno):
		return errno.Error()
	case errors.As(err, &timeout) && timeout.Timeout():
		return "no answer in time"
	}
	text, _, _ := strings.Cut(errors.Cause(err).Error(), "\n")
	return text
}

// checkStatus returns an error that lists the instances that are unreachable or not ready,
// on one line.
func checkStatus(statuses []instanceStatus) error {
	var failures []string
	for _, status := range statuses {
		switch {
		case status.State == nil:
			failures = append(failures, status.Address+": "+status.Error)
		case !status.State.Ready:
			failures = append(failures, status.Address+": "+readinessText(status.State))
		}
	}
	if len(failures) == 0 {
		return nil
	}
	return checkError{errors.New(strings.Join(failures, "; "))}
}

func readinessText(state *entry.State) string {
	switch {
	case state.Draining:
		return "draining"
	case !state.Ready:
		return "not ready"
	}
	return "ready"
}

func writeStatus(w io.Writer, statuses []instanceStatus, f statusFlags) error {
	if f.json {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(statuses)
	}
	if err := writeInstances(w, statuses); err != nil {
		return err
	}
	if err := writePools(w, statuses); err != nil {
		return err
	}
	if err := writeEvacuations(w, statuses); err != nil {
		return err
	}
	if f.domain || f.all {
		return writeMembers(w, statuses, f.all)
	}
	return nil
}

// writeTable writes the rows as aligned columns, separated by at least two spaces.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

func writeInstances(w io.Writer, statuses []instanceStatus) error {
	rows := [][]string{{"ADDRESS", "INSTANCE", "DOMAIN", "STATE", "REVISION", "IN PROGRESS", "MEMBERS"}}
	for _, status := range statuses {
		if status.State == nil {
			rows = append(rows, []string{status.Address, "-", "-", "unreachable", "-", "-", "-"})
			continue
		}
		state := status.State
		rows = append(rows, []string{status.Address, state.Instance, state.FailureDomain, readinessText(state), fmt.Sprint(state.Revision),
			fmt.Sprint(state.InProgress), fmt.Sprint(len(state.Members))})
	}
	return writeTable(w, rows)
}

func writePools(w io.Writer, statuses []instanceStatus) error {
	rows := [][]string{{"INSTANCE", "POOL", "QUEUED", "SHED TIER", "UPSTREAMS", "LEAVING", "EJECTED", "STRAGGLING", "IN FLIGHT", "LIMIT"}}
	for _, status := range statuses {
		if status.State == nil {
			continue
		}
		for _, pool := range status.State.Pools {
			rows = append(rows, poolRow(status.State.Instance, pool))
		}
	}
	if len(rows) == 1 {
		return nil
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return writeTable(w, rows)
}

// writeEvacuations writes a table of the evacuated failure domains, if there are any.
func writeEvacuations(w io.Writer, statuses []instanceStatus) error {
	rows := [][]string{{"ADDRESS", "EVACUATED", "SINCE", "REVISION"}}
	for _, status := range statuses {
		for _, e := range status.Evacuations {
			rows = append(rows, []string{status.Address, e.FailureDomain, e.Since.Format(time.RFC3339), fmt.Sprint(e.Revision)})
		}
	}
	if len(rows) == 1 {
		return nil
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return writeTable(w, rows)
}

func poolRow(instance string, pool entry.PoolState) []string {
	var leaving, ejected, stragglers, inFlight int
	var limit float64
	for _, upstream := range pool.Upstreams {
		leaving += boolToInt(upstream.Upstream.Leaving)
		ejected += boolToInt(upstream.Ejected)
		stragglers += boolToInt(upstream.Straggler)
		inFlight += upstream.InFlight
		limit += upstream.Limit
	}
	shedTier := "-"
	if pool.Pressure.HighestShed > 0 {
		shedTier = fmt.Sprint(pool.Pressure.HighestShed)
	}
	return []string{instance, pool.Name, fmt.Sprint(pool.Pressure.Queued), shedTier, fmt.Sprint(len(pool.Upstreams)),
		fmt.Sprint(leaving), fmt.Sprint(ejected), fmt.Sprint(stragglers), fmt.Sprint(inFlight), fmt.Sprintf("%.0f", limit)}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// writeMembers writes a table of the members known to each queried instance.
func writeMembers(w io.Writer, statuses []instanceStatus, all bool) error {
	rows := [][]string{{"SEEN BY", "MEMBER", "DOMAIN", "STATE", "REVISION"}}
	for _, status := range statuses {
		if status.State == nil {
			continue
		}
		members := slices.Clone(status.State.Members)
		slices.SortStableFunc(members, func(a, b entry.MemberState) int {
			return cmp.Or(strings.Compare(a.FailureDomain, b.FailureDomain), strings.Compare(a.Name, b.Name))
		})
		for _, member := range members {
			if all || member.FailureDomain == status.State.FailureDomain {
				rows = append(rows, []string{status.State.Instance, member.Name, member.FailureDomain, member.State, fmt.Sprint(member.Revision)})
			}
		}
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return writeTable(w, rows)
}
