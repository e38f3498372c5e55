package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"frosthub/accounting"
	"frosthub/internal/statsfile"

	"github.com/spf13/cobra"
)

// The values of --by: the attributes by which the figures command groups its sums.
const (
	byHandler     = "handler"
	byFrontEnd    = "front"
	byReason      = "reason"
	byCustomer    = "customer"
	byPeriod      = "period"
	byIncarnation = "life"
)

var groups = []string{byHandler, byFrontEnd, byReason, byCustomer, byPeriod, byIncarnation}

// figuresOptions are the flags of the figures command.
type figuresOptions struct {
	json   bool
	csv    bool
	trail  bool
	since  string
	by     string
	tally  string        // path of the tally file; empty for none
	cutoff time.Duration // parsed from since, in nanoseconds since 1970; 0 selects all periods
}

func figuresCommand() *cobra.Command {
	var options figuresOptions
	cmd := &cobra.Command{
		Use:   "figures FILE...",
		Short: "Show the request figures of nodes and check that they add up",
		Long: "figures reads the figures files of nodes, running or stopped, checks each file and shows the sum over all files.\n" +
			"The exit status is 1 if the figures of a file do not add up or a file can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: options.run,
	}
	flags := cmd.Flags()
	flags.BoolVar(&options.json, "json", false, "print as JSON, one report for each file")
	flags.BoolVar(&options.csv, "csv", false, "print as comma-separated values")
	flags.StringVar(&options.since, "since", "", "only periods that began since then: a duration before now such as 2h, or a time such as 2026-03-01T06:00:00Z")
	flags.StringVar(&options.by, "by", byHandler, "sum by handler, front, reason, customer, period or life")
	flags.BoolVar(&options.trail, "trail", false, "print the most recent ledger entries one by one instead")
	flags.StringVar(&options.tally, "tally", "", "file of lines 'id figure' that gives the outcome of requests whose outcome is unknown")
	cmd.MarkFlagsMutuallyExclusive("json", "csv", "trail")
	return cmd
}

func (o *figuresOptions) run(cmd *cobra.Command, files []string) error {
	if err := o.validate(); err != nil {
		return err
	}
	tally, err := readTally(o.tally)
	if err != nil {
		return err
	}
	if o.trail {
		return printTrails(cmd, files)
	}
	nodes, failed := o.readAll(cmd, files, tally)
	out := cmd.OutOrStdout()
	switch {
	case o.json:
		err = printJSON(out, nodes)
	case o.csv:
		err = printCSV(out, o.table(nodes))
	default:
		err = o.print(out, nodes)
	}
	if err == nil && failed {
		return errReported
	}
	return err
}

// validate checks the options and sets cutoff.
func (o *figuresOptions) validate() error {
	cutoff, err := parseSince(o.since)
	if err != nil {
		return err
	}
	o.cutoff = cutoff
	if !slices.Contains(groups, o.by) {
		return fmt.Errorf("--by %s: expected one of %s", o.by, strings.Join(groups, ", "))
	}
	if cutoff > 0 && (o.by == byCustomer || o.by == byIncarnation) {
		return fmt.Errorf("--since selects periods, which are not recorded by %s", o.by)
	}
	return nil
}

// parseSince parses a duration before now or an RFC 3339 time. It returns
// nanoseconds since 1970, or 0 for an empty text.
func parseSince(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(text); err == nil && span > 0 {
		return time.Duration(time.Now().Add(-span).UnixNano()), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--since %s: expected a duration before now such as 2h, or a time such as 2026-03-01T06:00:00Z", text)
	}
	return time.Duration(at.UnixNano()), nil
}

// nodeFigures holds the figures of one file. The JSON keys are fixed because
// operators' scripts read them.
type nodeFigures struct {
	File           string            `json:"file"`
	InUse          bool              `json:"runs"` // a process holds the lock of the file
	Report         accounting.Report `json:"report"`
	OutcomeUnknown int64             `json:"in_doubt"`   // requests whose response may or may not have been sent
	Settled        int64             `json:"settled"`    // number of these requests whose outcome is in the tally
	UnsettledIDs   []string          `json:"doubt_ids"`  // ids of these requests whose outcome is not in the tally
	Mismatch       string            `json:"difference"` // description of a mismatch; empty if all figures add up
}

// readAll reads the files. It prints an error for each file that can't be read or
// whose figures do not add up; failed reports whether there was one.
func (o *figuresOptions) readAll(cmd *cobra.Command, files []string, outcomes tally) (nodes []nodeFigures, failed bool) {
	for _, file := range files {
		node, err := o.read(file, outcomes)
		if err != nil {
			cmd.PrintErrf("%s: %v\n", file, err)
			failed = true
			continue
		}
		if node.Mismatch != "" {
			cmd.PrintErrf("%s: figures do not add up: %s\n", file, node.Mismatch)
			failed = true
		}
		nodes = append(nodes, node)
	}
	return nodes, failed
}

func (o *figuresOptions) read(file string, outcomes tally) (nodeFigures, error) {
	ledger, _, err := statsfile.ReadFile(file)
	if err != nil {
		return nodeFigures{}, err
	}
	node := nodeFigures{File: file, InUse: statsfile.Locked(file)}
	if !node.InUse && wasKilled(ledger) {
		// The next start of the node ends the incarnation in the same way.
		ledger.EndIncarnation(accounting.OpenAtKill, accounting.Killed)
	}
	node.Report = ledger.Report(o.cutoff > 0 || o.by == byPeriod || o.json)
	node.settle(outcomes)
	node.Mismatch = node.Report.Check()
	if o.cutoff > 0 {
		node.Report.Periods = slices.DeleteFunc(node.Report.Periods, func(p accounting.Period) bool {
			return p.Start < o.cutoff
		})
	}
	return node, nil
}

// wasKilled reports whether the last incarnation of a ledger that no process uses
// ended without an orderly exit.
func wasKilled(ledger *accounting.Ledger) bool {
	incarnations, _, _ := ledger.Incarnations()
	if len(incarnations) == 0 {
		return false
	}
	return incarnations[len(incarnations)-1].State == accounting.Running
}

func (o *figuresOptions) print(out io.Writer, nodes []nodeFigures) error {
	p := newPrinter(out)
	for i := range nodes {
		nodes[i].print(p)
	}
	if p.err != nil {
		return p.err
	}
	rows := o.table(nodes)
	rows = append(rows, figuresRow{"sum", sumOf(rows)})
	return printTable(out, tabwriter.AlignRight, func(table *printer) {
		table.println(o.by + "\t" + strings.Join(columns, "\t") + "\t")
		for _, row := range rows {
			table.println(row.key + "\t" + strings.Join(row.cells(), "\t") + "\t")
		}
	})
}

func (n *nodeFigures) print(out *printer) {
	state := "no process uses it"
	if n.InUse {
		state = "in use"
	}
	incarnations := n.Report.EarlierIncarnations + uint64(len(n.Report.Incarnations))
	total := n.Report.Total
	out.printf("%s: %s, %d incarnations, taken %d = served %d + refused %d + failed %d + open %d\n", n.File, state, incarnations,
		total.Received, total.Served, total.Rejected, total.Failed, total.Open)
	if n.OutcomeUnknown == 0 {
		return
	}
	out.printf("%s: %d requests with unknown outcome after kills, %d settled by the tally\n", n.File, n.OutcomeUnknown, n.Settled)
	for _, id := range n.UnsettledIDs {
		out.printf("%s: request %s: outcome unknown\n", n.File, id)
	}
}

// printTrails prints the most recent ledger entries of each file, one a line.
func printTrails(cmd *cobra.Command, files []string) error {
	failed := false
	for _, file := range files {
		_, data, err := statsfile.ReadFile(file)
		if err != nil {
			cmd.PrintErrf("%s: %v\n", file, err)
			failed = true
			continue
		}
		if err := printTrail(cmd.OutOrStdout(), data); err != nil {
			return err
		}
	}
	if failed {
		return errReported
	}
	return nil
}

func printTrail(out io.Writer, data []byte) error {
	entries, err := statsfile.RecentEntries(data)
	if err != nil {
		return err
	}
	return printBuffered(out, func(p *printer) {
		for i := range entries {
			p.println(timestamp(entries[i].At), entries[i].String())
		}
	})
}
