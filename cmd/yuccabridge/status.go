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
)

const (
	// maxStateBytes bounds a state dump.
	maxStateBytes = 8 << 20
	// statusParallel bounds how many instances are asked at the same time.
	statusParallel = 32
	// defaultStatusTimeout bounds one query.
	defaultStatusTimeout = 3 * time.Second
)

type statusFlags struct {
	instances []string
	domain    bool
	all       bool
	json      bool
	timeout   time.Duration
}

// instanceStatus is what one queried address answered.
type instanceStatus struct {
	Address string       `json:"address"`
	State   *entry.State `json:"state,omitempty"`
	Error   string       `json:"error,omitempty"`
}

func newStatus() *cobra.Command {
	var f statusFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the state of entry instances",
		Long: "Show the state of entry instances, read from /state of their operations listeners.\n" +
			"With --domain or --all, the members that the queried instances know are listed as well,\n" +
			"in the state in which the queried instance sees them; they are not queried themselves.\n" +
			"The exit code is 1 when a queried instance cannot be reached or is not ready.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return status(c, f) },
	}
	c.Flags().StringSliceVar(&f.instances, "instance", []string{"127.0.0.1:8081"}, "operations address of an instance; may be repeated")
	c.Flags().BoolVar(&f.domain, "domain", false, "list the known members of the instance's failure domain as well")
	c.Flags().BoolVar(&f.all, "all", false, "list all known members as well")
	c.Flags().BoolVar(&f.json, "json", false, "print the states as JSON")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultStatusTimeout, "time limit of one query")
	c.MarkFlagsMutuallyExclusive("domain", "all")
	return c
}

func status(c *cobra.Command, f statusFlags) error {
	for _, address := range f.instances {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("--instance %s: not an IP address with port", address)
		}
	}
	if f.timeout <= 0 {
		return errors.Errorf("--timeout %s: must be positive", f.timeout)
	}
	list := queryAll(c.Context(), f.instances, f.timeout)
	if err := showStatus(c.OutOrStdout(), list, f); err != nil {
		return err
	}
	return checkStatus(list)
}

// queryAll asks the instances at the same time and keeps their order.
func queryAll(ctx context.Context, addresses []string, timeout time.Duration) []instanceStatus {
	client := &http.Client{Timeout: timeout}
	defer client.CloseIdleConnections()
	list := make([]instanceStatus, len(addresses))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, address := range addresses {
		group.Go(func() error {
			list[i].Address = address
			state, err := queryState(ctx, client, address)
			if err != nil {
				list[i].Error = shortReason(err)
				return nil
			}
			list[i].State = state
			return nil
		})
	}
	_ = group.Wait() // failures are in the list
	return list
}

func queryState(ctx context.Context, client *http.Client, address string) (*entry.State, error) {
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
	s := new(entry.State)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(s); err != nil {
		return nil, errors.New("/state is not the state of an instance")
	}
	if s.Instance == "" {
		return nil, errors.New("/state is not the state of an instance")
	}
	return s, nil
}

// shortReason leaves out the request's method, URL and socket addresses.
func shortReason(err error) string {
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

// checkStatus names the instances that cannot serve, in one line.
func checkStatus(list []instanceStatus) error {
	var bad []string
	for _, i := range list {
		switch {
		case i.State == nil:
			bad = append(bad, i.Address+": "+i.Error)
		case !i.State.Ready:
			bad = append(bad, i.Address+": "+condition(i.State))
		}
	}
	if len(bad) == 0 {
		return nil
	}
	return checkError{errors.New(strings.Join(bad, "; "))}
}

func condition(s *entry.State) string {
	switch {
	case s.Draining:
		return "draining"
	case !s.Ready:
		return "not ready"
	}
	return "ready"
}

func showStatus(w io.Writer, list []instanceStatus, f statusFlags) error {
	if f.json {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(list)
	}
	if err := writeInstances(w, list); err != nil {
		return err
	}
	if err := writePools(w, list); err != nil {
		return err
	}
	if f.domain || f.all {
		return writeMembers(w, list, f.all)
	}
	return nil
}

// writeTable aligns the rows. Columns are separated by two spaces.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

func writeInstances(w io.Writer, list []instanceStatus) error {
	rows := [][]string{{"ADDRESS", "INSTANCE", "DOMAIN", "STATE", "REVISION", "IN PROGRESS", "MEMBERS"}}
	for _, i := range list {
		if i.State == nil {
			rows = append(rows, []string{i.Address, "-", "-", "unreachable", "-", "-", "-"})
			continue
		}
		s := i.State
		rows = append(rows, []string{i.Address, s.Instance, s.FailureDomain, condition(s), fmt.Sprint(s.Revision),
			fmt.Sprint(s.InProgress), fmt.Sprint(len(s.Members))})
	}
	return writeTable(w, rows)
}

func writePools(w io.Writer, list []instanceStatus) error {
	rows := [][]string{{"INSTANCE", "POOL", "QUEUED", "SHED TIER", "UPSTREAMS", "LEAVING", "EJECTED", "STRAGGLING", "IN FLIGHT", "LIMIT"}}
	for _, i := range list {
		if i.State == nil {
			continue
		}
		for _, p := range i.State.Pools {
			rows = append(rows, poolRow(i.State.Instance, p))
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

func poolRow(instance string, p entry.PoolState) []string {
	var leaving, ejected, stragglers, inFlight int
	var limit float64
	for _, u := range p.Upstreams {
		leaving += count(u.Upstream.Leaving)
		ejected += count(u.Ejected)
		stragglers += count(u.Straggler)
		inFlight += u.InFlight
		limit += u.Limit
	}
	shed := "-"
	if p.Pressure.HighestShed > 0 {
		shed = fmt.Sprint(p.Pressure.HighestShed)
	}
	return []string{instance, p.Name, fmt.Sprint(p.Pressure.Queued), shed, fmt.Sprint(len(p.Upstreams)),
		fmt.Sprint(leaving), fmt.Sprint(ejected), fmt.Sprint(stragglers), fmt.Sprint(inFlight), fmt.Sprintf("%.0f", limit)}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// writeMembers lists what the queried instances know about others.
func writeMembers(w io.Writer, list []instanceStatus, all bool) error {
	rows := [][]string{{"SEEN BY", "MEMBER", "DOMAIN", "STATE", "REVISION"}}
	for _, i := range list {
		if i.State == nil {
			continue
		}
		members := slices.Clone(i.State.Members)
		slices.SortStableFunc(members, func(a, b entry.MemberState) int {
			return cmp.Or(strings.Compare(a.FailureDomain, b.FailureDomain), strings.Compare(a.Name, b.Name))
		})
		for _, m := range members {
			if all || m.FailureDomain == i.State.FailureDomain {
				rows = append(rows, []string{i.State.Instance, m.Name, m.FailureDomain, m.State, fmt.Sprint(m.Revision)})
			}
		}
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return writeTable(w, rows)
}
