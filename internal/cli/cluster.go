package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"frosthub/backend"
	"frosthub/internal/admin"

	"github.com/spf13/cobra"
)

const (
	// adminTimeout is how long a node on this machine may take to answer.
	adminTimeout = 3 * time.Second
	// shownKeyDigits is how much of a key is shown: enough to tell apart those
	// in flight.
	shownKeyDigits = 12
)

var errNoAddress = errors.New("--admin: the address of the box's \"admin listen\"")

// clusterCommands returns the commands that ask a running node about its cluster.
func clusterCommands() []*cobra.Command {
	return []*cobra.Command{
		nodeCommand("cluster", "Show how a running box sees its cluster, and what it holds and took over", printCluster),
		nodeCommand("members", "Show which boxes a running box takes for alive, and by which lists they go", printMembers),
		recoveryCommand(),
		nodeCommand("takeover", "Show the reqs that a running box holds, waits for, or has noted for others", printRequests),
	}
}

// nodeCommand returns a command that prints how a running node sees its cluster.
func nodeCommand(use, short string, show func(io.Writer, *backend.ClusterStats) error) *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			stats, err := fetchClusterStats(c.Context(), address)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), stats)
			}
			return show(c.OutOrStdout(), stats)
		},
	}
	addAddressFlag(c, &address)
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

func addAddressFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "admin", "", "the address of the box's \"admin listen\"")
}

// fetchClusterStats asks the node whose admin server listens at the address.
func fetchClusterStats(ctx context.Context, address string) (*backend.ClusterStats, error) {
	if address == "" {
		return nil, errNoAddress
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+admin.PathCluster, nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var stats *backend.ClusterStats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		return nil, fmt.Errorf("%s: not understood: %w", address, err)
	}
	if stats == nil {
		return nil, fmt.Errorf("%s: no cluster there, or its store is still being read", address)
	}
	return stats, nil
}

func printCluster(out io.Writer, stats *backend.ClusterStats) error {
	if err := printMembers(out, stats); err != nil {
		return err
	}
	return printFailoverCounts(out, stats)
}

func printMembers(out io.Writer, stats *backend.ClusterStats) error {
	p := newPrinter(out)
	p.printf("cluster %s, life %d\n", stats.Name, stats.Incarnation)
	switch {
	case stats.Previous > 0 && stats.Since == "":
		p.printf("members change: by both lists (%d boxes before), not all others yet\n", stats.Previous)
	case stats.Previous > 0:
		p.printf("members change: by both lists (%d boxes before), all others since %s\n", stats.Previous, stats.Since)
	}
	if stats.RosterReason != "" {
		p.printf("its file says otherwise: %s\n", stats.RosterReason)
	}
	if p.err != nil {
		return p.err
	}
	return printTable(out, tabwriter.AlignRight, func(table *printer) {
		table.println("member\tlife\tstate\tlists\t")
		for _, m := range stats.Members {
			table.printf("%s\t%d\t%s\t%s\t\n", m.Name, m.Incarnation, m.State, m.Roster)
		}
	})
}

func printFailoverCounts(out io.Writer, stats *backend.ClusterStats) error {
	p := newPrinter(out)
	f := stats.Failover
	p.printf("holds %d, waits for %d of others, notes %d for others (%d begun); ", f.Held, f.Waiting, f.Reservations, f.Started)
	p.printf("taken over %d, lost to others %d, joined %d, in doubt %d, ", f.TakenOver, f.Lost, f.Joined, f.OutcomeUnknown)
	p.printf("ends from lost boxes' processors %d\n", f.FoundAtProcessor)
	return p.err
}

func printRequests(out io.Writer, stats *backend.ClusterStats) error {
	if err := printFailoverCounts(out, stats); err != nil {
		return err
	}
	return printTable(out, 0, func(table *printer) {
		table.println("key\thandler\tpart\tstep\tholder\ttime left\ttaken over")
		for _, r := range stats.Requests {
			takenOver := ""
			if r.TakenOver {
				takenOver = "yes"
			}
			table.printf("%.*s\t%s\t%s\t%s\t%s\t%s\t%s\n", shownKeyDigits, r.Key, r.Handler, r.Role, r.State, r.Holder,
				r.Left.Round(time.Millisecond), takenOver)
		}
	})
}
