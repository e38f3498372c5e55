package cli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"frosthub/backend"
	"frosthub/internal/admin"
	"frosthub/recovery"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const (
	askFor   = 3 * time.Second // a box on this machine
	keyShown = 12              // digits of a key: enough to tell those apart that are in hand
)

// clusterCommands are those that ask a running box about its cluster.
func clusterCommands() []*cobra.Command {
	return []*cobra.Command{
		boxCommand("cluster", "Show how a running box sees its cluster, and what it holds and took over", func(out io.Writer, s *backend.ClusterStats) error {
			if err := printMembers(out, s); err != nil {
				return err
			}
			printWork(out, s)
			return nil
		}),
		boxCommand("members", "Show which boxes a running box takes for alive, and by which lists they go", printMembers),
		recoveryCommand(),
		boxCommand("takeover", "Show the reqs that a running box holds, waits for, or has noted for others", func(out io.Writer, s *backend.ClusterStats) error {
			printWork(out, s)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "key\thandler\tpart\tstep\tholder\ttime left\ttaken over")
			for _, r := range s.Requests {
				taken := ""
				if r.Taken {
					taken = "yes"
				}
				fmt.Fprintf(w, "%.*s\t%s\t%s\t%s\t%s\t%s\t%s\n", keyShown, r.Key, r.Handler, r.Part, r.Step, r.Holder, r.Left.Round(time.Millisecond), taken)
			}
			return w.Flush()
		}),
	}
}

func recoveryCommand() *cobra.Command {
	c := boxCommand("recovery", "Show how far a running box's way back is, and what it trusts from before", func(out io.Writer, s *backend.ClusterStats) error {
		fmt.Fprintf(out, "%s: %s\n", s.Phase, s.PhaseReason)
		if len(s.Unanswered) > 0 {
			fmt.Fprintf(out, "not answered yet: %s\n", strings.Join(s.Unanswered, ", "))
		}
		for _, of := range slices.Sorted(maps.Keys(s.OutcomeUnknown)) {
			fmt.Fprintf(out, "in doubt: %d of %s\n", s.OutcomeUnknown[of], cmp.Or(of, "handlers that are not known"))
		}
		if s.UnknownOutcomes > 0 {
			fmt.Fprintf(out, "runs whose end the others are asked about: %d\n", s.UnknownOutcomes)
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		if len(s.Refill) > 0 {
			fmt.Fprintln(w, "told again by\tso far\tkeys\tpages")
			for _, t := range s.Refill {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", t.Name, t.State, t.Keys, t.Pages)
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w, "from before\tit is\tbecause\tat risk")
		for _, p := range recovery.Components {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.Name, p.Trust, p.Reason, p.Risk)
		}
		return w.Flush()
	})
	c.AddCommand(
		saidCommand("trust", "Say that a box's disk is all that there is", cobra.NoArgs,
			"The box takes all that it does not know for never run. What ran and is missing on its disk may run a second time, if it is asked for again\n"+
				"and the other boxes of its group are away, or lost it too.", func([]string) string { return "/recovery/trust" }),
		saidCommand("forget BOX", "Say that another box never comes back", cobra.ExactArgs(1),
			"This box does not wait any more for what that one may know. What only these two had noted is taken for never run, and may run a second time\n"+
				"if it is asked for again. Say it to each box that waits. It ends by itself if that box is heard after all.",
			func(args []string) string { return "/recovery/forget?box=" + url.QueryEscape(args[0]) }))
	return c
}

// saidCommand says something to a running box that can't be taken back: without --yes it says what follows from it, and does nothing.
func saidCommand(use, short string, args cobra.PositionalArgs, follows string, path func(args []string) string) *cobra.Command {
	var address string
	var yes bool
	c := &cobra.Command{Use: use, Short: short, Long: short + ".\n\n" + follows, Args: args, RunE: func(c *cobra.Command, args []string) error {
		if address == "" {
			return errNoAddress
		}
		fmt.Fprintln(c.OutOrStdout(), follows)
		if !yes {
			return errors.New("nothing was done: --yes does it")
		}
		r, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+address+path(args), nil)
		if err != nil {
			return err
		}
		r.Header.Set(admin.OperatorHeader, cmp.Or(os.Getenv("USER"), "an operator"))
		client := http.Client{Timeout: askFor}
		got, err := client.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = got.Body.Close() }()
		if got.StatusCode != http.StatusOK {
			why, _ := io.ReadAll(io.LimitReader(got.Body, 1<<10))
			return fmt.Errorf("%s: %s", address, strings.TrimSpace(string(why)))
		}
		fmt.Fprintln(c.OutOrStdout(), "done, and recorded")
		return nil
	}}
	c.Flags().StringVar(&address, "admin", "", "the address of the box's \"admin listen\"")
	c.Flags().BoolVar(&yes, "yes", false, "do it")
	return c
}

var errNoAddress = errors.New("--admin: the address of the box's \"admin listen\"")

func boxCommand(use, short string, show func(io.Writer, *backend.ClusterStats) error) *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := askCluster(address)
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(s)
			}
			return show(c.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&address, "admin", "", "the address of the box's \"admin listen\"")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// askCluster asks a box how it sees its cluster.
func askCluster(address string) (*backend.ClusterStats, error) {
	if address == "" {
		return nil, errNoAddress
	}
	client := http.Client{Timeout: askFor}
	r, err := client.Get("http://" + address + "/cluster")
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	var s *backend.ClusterStats
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		return nil, fmt.Errorf("%s: not understood: %w", address, err)
	}
	if s == nil {
		return nil, fmt.Errorf("%s: no cluster there, or its store is still being read", address)
	}
	return s, nil
}

func printMembers(out io.Writer, s *backend.ClusterStats) error {
	fmt.Fprintf(out, "cluster %s, life %d\n", s.Name, s.Incarnation)
	switch {
	case s.Previous > 0 && s.Since == "":
		fmt.Fprintf(out, "members change: by both lists (%d boxes before), not all others yet\n", s.Previous)
	case s.Previous > 0:
		fmt.Fprintf(out, "members change: by both lists (%d boxes before), all others since %s\n", s.Previous, s.Since)
	}
	if s.RosterReason != "" {
		fmt.Fprintf(out, "its file says otherwise: %s\n", s.RosterReason)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "member\tlife\tstate\tlists\t")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t\n", m.Name, m.Incarnation, m.State, m.Roster)
	}
	return w.Flush()
}

func printWork(out io.Writer, s *backend.ClusterStats) {
	k := s.Failover
	fmt.Fprintf(out, "holds %d, waits for %d of others, notes %d for others (%d begun); taken over %d, lost to others %d, joined %d, in doubt %d, "+
		"ends from lost boxes' processors %d\n", k.Held, k.Waiting, k.Notes, k.Running, k.TakenOver, k.Lost, k.Joined, k.OutcomeUnknown, k.FoundAtProcessor)
}
