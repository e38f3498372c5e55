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

// maxErrorText is how much of an error that a node answers is shown, in bytes.
const maxErrorText = 1 << 10

// recoveryCommand shows the recovery of a running node, and groups the commands
// with which an operator decides what it can't find out.
func recoveryCommand() *cobra.Command {
	c := nodeCommand("recovery", "Show how far a running box's way back is, and what it trusts from before", printRecovery)
	c.AddCommand(
		decisionCommand(decision{
			use:   "trust",
			short: "Say that a box's disk is all that there is",
			args:  cobra.NoArgs,
			consequences: "The box takes all that it does not know for never run. What ran and is missing on its disk may run a second time, if it is asked for again\n" +
				"and the other boxes of its group are away, or lost it too.",
			path: func([]string) string { return admin.PathTrust },
		}),
		decisionCommand(decision{
			use:   "forget BOX",
			short: "Say that another box never comes back",
			args:  cobra.ExactArgs(1),
			consequences: "This box does not wait any more for what that one may know. What only these two had noted is taken for never run, and may run a second time\n" +
				"if it is asked for again. Say it to each box that waits. It ends by itself if that box is heard after all.",
			path: func(args []string) string { return admin.PathForget + "?box=" + url.QueryEscape(args[0]) },
		}),
	)
	return c
}

func printRecovery(out io.Writer, stats *backend.ClusterStats) error {
	p := newPrinter(out)
	p.printf("%s: %s\n", stats.Phase, stats.PhaseReason)
	if len(stats.Unanswered) > 0 {
		p.printf("not answered yet: %s\n", strings.Join(stats.Unanswered, ", "))
	}
	for _, handler := range slices.Sorted(maps.Keys(stats.OutcomeUnknown)) {
		p.printf("in doubt: %d of %s\n", stats.OutcomeUnknown[handler], cmp.Or(handler, "handlers that are not known"))
	}
	if stats.UnknownOutcomes > 0 {
		p.printf("runs whose end the others are asked about: %d\n", stats.UnknownOutcomes)
	}
	if p.err != nil {
		return p.err
	}
	return printTable(out, 0, func(table *printer) {
		if len(stats.Refill) > 0 {
			table.println("told again by\tso far\tkeys\tpages")
			for _, peer := range stats.Refill {
				table.printf("%s\t%s\t%d\t%d\n", peer.Name, peer.State, peer.Keys, peer.Pages)
			}
			table.println()
		}
		table.println("from before\tit is\tbecause\tat risk")
		for _, component := range recovery.Components {
			table.printf("%s\t%s\t%s\t%s\n", component.Name, component.Trust, component.Reason, component.Risk)
		}
	})
}

// decision is what an operator tells a running node and can't take back.
type decision struct {
	use          string
	short        string
	args         cobra.PositionalArgs
	consequences string
	path         func(args []string) string // of the request to the node's admin server
}

// decisionCommand returns a command that prints the consequences of a decision
// and, only with --yes, tells it to a running node.
func decisionCommand(d decision) *cobra.Command {
	var address string
	var confirmed bool
	c := &cobra.Command{
		Use:   d.use,
		Short: d.short,
		Long:  d.short + ".\n\n" + d.consequences,
		Args:  d.args,
		RunE: func(c *cobra.Command, args []string) error {
			if address == "" {
				return errNoAddress
			}
			out := newPrinter(c.OutOrStdout())
			out.println(d.consequences)
			if out.err != nil {
				return out.err
			}
			if !confirmed {
				return errors.New("nothing was done: --yes does it")
			}
			if err := postDecision(c.Context(), address, d.path(args)); err != nil {
				return err
			}
			out.println("done, and recorded")
			return out.err
		},
	}
	addAddressFlag(c, &address)
	c.Flags().BoolVar(&confirmed, "yes", false, "do it")
	return c
}

// postDecision tells the node whose admin server listens at the address.
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
