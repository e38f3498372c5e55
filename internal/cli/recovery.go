package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"frosthub/backend"
	"frosthub/internal/admin"
	"frosthub/recovery"

	"github.com/spf13/cobra"
)

// maxErrorText is the length to which the error text of a node is cut, in bytes.
const maxErrorText = 1 << 10

// recoveryCommand returns the command that prints the recovery of a running node.
// Its subcommands send the node decisions that only an operator can make.
func recoveryCommand() *cobra.Command {
	cmd := nodeCommand("recovery", "Show the progress of a running node's recovery, and which state from before the restart it trusts", printRecovery)
	cmd.AddCommand(
		decisionCommand(decision{
			use:   "trust",
			short: "Accept the disk of a node as the complete record",
			args:  cobra.NoArgs,
			consequences: "The node treats every request without a record on its disk as never run. A request that ran and whose record is missing may run a second time, if it is retried\n" +
				"while the other nodes of its group are down, or if they lost the record too.",
			path: func([]string) string { return admin.PathTrust },
		}),
		decisionCommand(decision{
			use:   "forget BOX",
			short: "Declare that another node never comes back",
			args:  cobra.ExactArgs(1),
			consequences: "This node no longer waits for the records of that node. A request of which only these two nodes have a record is treated as never run, and may run a second time\n" +
				"if it is retried. Run this command for each node that waits. The decision ends by itself if that node sends a message after all.",
			path: func(args []string) string { return admin.PathForget + "?box=" + url.QueryEscape(args[0]) },
		}),
	)
	return cmd
}

func printRecovery(out io.Writer, stats *backend.ClusterStats) error {
	p := newPrinter(out)
	p.printf("%s: %s\n", stats.Phase, stats.PhaseReason)
	if len(stats.Unanswered) > 0 {
		p.printf("no answer yet from: %s\n", strings.Join(stats.Unanswered, ", "))
	}
	for _, handler := range slices.Sorted(maps.Keys(stats.OutcomeUnknown)) {
		p.printf("outcome unknown: %d of %s\n", stats.OutcomeUnknown[handler], cmp.Or(handler, "unknown handlers"))
	}
	if stats.UnknownOutcomes > 0 {
		p.printf("runs whose outcome the other nodes are queried for: %d\n", stats.UnknownOutcomes)
	}
	if p.err != nil {
		return p.err
	}
	return printTable(out, 0, func(table *printer) {
		if len(stats.Refill) > 0 {
			table.println("refilled by\tstate\tkeys\tpages")
			for _, peer := range stats.Refill {
				table.printf("%s\t%s\t%d\t%d\n", peer.Name, peer.State, peer.Keys, peer.Pages)
			}
			table.println()
		}
		table.println("state before the restart\ttreatment\treason\trisk")
		for _, component := range recovery.Components {
			table.printf("%s\t%s\t%s\t%s\n", component.Name, component.Trust, component.Reason, component.Risk)
		}
	})
}

// decision describes a command that sends an irrevocable decision of the operator
// to a running node.
type decision struct {
	use          string
	short        string
	args         cobra.PositionalArgs
	consequences string
	path         func(args []string) string // returns path and query of the request to the admin server
}

// decisionCommand returns a command that prints the consequences of a decision and,
// only with --yes, sends it to a running node.
func decisionCommand(d decision) *cobra.Command {
	var address string
	var confirmed bool
	cmd := &cobra.Command{
		Use:   d.use,
		Short: d.short,
		Long:  d.short + ".\n\n" + d.consequences,
		Args:  d.args,
		RunE: func(cmd *cobra.Command, args []string) error {
			if address == "" {
				return errNoAddress
			}
			out := newPrinter(cmd.OutOrStdout())
			out.println(d.consequences)
			if out.err != nil {
				return out.err
			}
			if !confirmed {
				return errors.New("nothing was done: confirm the decision with --yes")
			}
			if err := postDecision(cmd.Context(), address, d.path(args)); err != nil {
				return err
			}
			out.println("done and recorded")
			return out.err
		},
	}
	addAddressFlag(cmd, &address)
	cmd.Flags().BoolVar(&confirmed, "yes", false, "confirm the decision")
	return cmd
}

// postDecision sends a decision to the node whose admin server listens at the
// address. The user's name goes with it as that of the operator. A status other than
// 200 is an error with the text that the node returned.
func postDecision(ctx context.Context, address, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set(admin.OperatorHeader, cmp.Or(os.Getenv("USER"), "an operator"))
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return fmt.Errorf("%s: %s", address, strings.TrimSpace(string(text)))
	}
	return nil
}
