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
	// adminTimeout bounds a request to the admin server of a node, which listens
	// on this machine.
	adminTimeout = 3 * time.Second
	// shownKeyDigits is the length to which keys are cut in tables. It is enough
	// to distinguish the keys of requests in flight.
	shownKeyDigits = 12
)

var errNoAddress = errors.New("--admin is missing: expected the address in the \"admin listen\" directive of the node")

// clusterCommands returns the commands that query a running node about its cluster.
func clusterCommands() []*cobra.Command {
	return []*cobra.Command{
		nodeCommand("cluster", "Show the members of a running node's cluster and its failover counts", printCluster),
		nodeCommand("members", "Show the state of each member as a running node sees it, and the member list it uses", printMembers),
		recoveryCommand(),
		nodeCommand("takeover", "Show the requests that a running node holds, waits for or has reserved for other nodes", printRequests),
	}
}

// nodeCommand returns a command that fetches the cluster statistics of a running
// node and prints them with show, or as JSON.
func nodeCommand(use, short string, show func(io.Writer, *backend.ClusterStats) error) *cobra.Command {
	var address string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			stats, err := fetchClusterStats(cmd.Context(), address)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), stats)
			}
			return show(cmd.OutOrStdout(), stats)
		},
	}
	addAddressFlag(cmd, &address)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

func addAddressFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "admin", "", "address in the \"admin listen\" directive of the node")
}

// fetchClusterStats fetches the cluster statistics of the node whose admin server
// listens at the address. It returns an error for a node that is in no cluster
// or whose store is still loading.
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
		return nil, fmt.Errorf("%s: decode cluster statistics: %w", address, err)
	}
	if stats == nil {
		return nil, fmt.Errorf("%s: the node is in no cluster, or its store is still loading", address)
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
	p.printf("cluster %s, incarnation %d\n", stats.Name, stats.Incarnation)
	switch {
	case stats.Previous > 0 && stats.Since == "":
		p.printf("membership change: both member lists apply (%d nodes in the previous one), not yet adopted by all other nodes\n", stats.Previous)
	case stats.Previous > 0:
		p.printf("membership change: both member lists apply (%d nodes in the previous one), adopted by all other nodes since %s\n", stats.Previous, stats.Since)
	}
	if stats.RosterReason != "" {
		p.printf("member lists of the operator's file not adopted: %s\n", stats.RosterReason)
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
	failover := stats.Failover
	p.printf("holds %d, waits for %d of other nodes, reserves %d for other nodes (%d started); ", failover.Held, failover.Waiting, failover.Reservations, failover.Started)
	p.printf("taken over %d, lost to other nodes %d, joined %d, outcome unknown %d, ", failover.TakenOver, failover.Lost, failover.Joined, failover.OutcomeUnknown)
	p.printf("outcomes from processors of lost nodes %d\n", failover.FoundAtProcessor)
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
