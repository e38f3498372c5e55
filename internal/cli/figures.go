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

// The groups that the figures command can sum by.
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
	tally  string
	cutoff time.Duration // since, in nanoseconds since 1970; 0 for everything
}

func figuresCommand() *cobra.Command {
	var options figuresOptions
	c := &cobra.Command{
		Use:   "figures FILE...",
		Short: "Show the figures of boxes, and whether they add up",
		Long: "figures reads figures files, of boxes that run or do not, checks each and shows the sum of all.\n" +
			"The exit status is 1 where one does not add up or can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: options.run,
	}
	f := c.Flags()
	f.BoolVar(&options.json, "json", false, "as JSON, one report for each file")
	f.BoolVar(&options.csv, "csv", false, "as comma separated values")
	f.StringVar(&options.since, "since", "", "only periods that began since then: a span back as 2h, or a time as 2026-03-01T06:00:00Z")
	f.StringVar(&options.by, "by", byHandler, "handler, front, reason, customer, period or life")
	f.BoolVar(&options.trail, "trail", false, "the last changes one by one instead")
	f.StringVar(&options.tally, "tally", "", "a file of lines 'id figure' that settles ids in doubt")
	c.MarkFlagsMutuallyExclusive("json", "csv", "trail")
	return c
}

func (o *figuresOptions) run(c *cobra.Command, files []string) error {
	if err := o.validate(); err != nil {
		return err
	}
	tally, err := readTally(o.tally)
	if err != nil {
		return err
	}
	if o.trail {
		return printTrails(c, files)
	}
	nodes, failed := o.readAll(c, files, tally)
	out := c.OutOrStdout()
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

// validate checks the options and sets the cutoff.
func (o *figuresOptions) validate() error {
	cutoff, err := parseSince(o.since)
	if err != nil {
		return err
	}
	o.cutoff = cutoff
	if !slices.Contains(groups, o.by) {
		return fmt.Errorf("--by %s: one of %s", o.by, strings.Join(groups, ", "))
	}
	if cutoff > 0 && (o.by == byCustomer || o.by == byIncarnation) {
		return fmt.Errorf("--since goes by periods, which are not kept by %s", o.by)
	}
	return nil
}

// parseSince reads a span back from now or a time, and returns nanoseconds since
// 1970; 0 for an empty text.
func parseSince(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(text); err == nil && span > 0 {
		return time.Duration(time.Now().Add(-span).UnixNano()), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--since %s: a span back as 2h, or a time as 2026-03-01T06:00:00Z", text)
	}
	return time.Duration(at.UnixNano()), nil
}

// nodeFigures are the figures of one file. Operators' scripts read it as JSON,
// whose keys are fixed.
type nodeFigures struct {
	File          string            `json:"file"`
	InUse         bool              `json:"runs"` // a process holds its lock
	Report        accounting.Report `json:"report"`
	Uncertain     int64             `json:"in_doubt"`   // responses that may have been sent or not
	Settled       int64             `json:"settled"`    // those of them that the tally settled
	UnsettledIDs  []string          `json:"doubt_ids"`  // the request ids of the others
	Contradiction string            `json:"difference"` // what does not add up
}

// readAll reads the files, and reports the errors of those that can't be read or
// whose figures contradict each other.
func (o *figuresOptions) readAll(c *cobra.Command, files []string, outcomes tally) (nodes []nodeFigures, failed bool) {
	for _, file := range files {
		node, err := o.read(file, outcomes)
		if err != nil {
			c.PrintErrf("%s: %v\n", file, err)
			failed = true
			continue
		}
		if node.Contradiction != "" {
			c.PrintErrf("%s: figures differ: %s\n", file, node.Contradiction)
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
		ledger.EndIncarnation(accounting.OpenAtKill, accounting.Killed) // as the next start of the node will
	}
	node.Report = ledger.Report(o.cutoff > 0 || o.by == byPeriod || o.json)
	node.settle(outcomes)
	node.Contradiction = node.Report.Check()
	if o.cutoff > 0 {
		node.Report.Periods = slices.DeleteFunc(node.Report.Periods, func(p accounting.Period) bool {
			return p.Start < o.cutoff
		})
	}
	return node, nil
}

// wasKilled reports whether the last incarnation of a ledger that no process
// uses did not come to an orderly end.
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
	state := "no process holds it"
	if n.InUse {
		state = "in use"
	}
	incarnations := n.Report.EarlierIncarnations + uint64(len(n.Report.Incarnations))
	total := n.Report.Total
	out.printf("%s: %s, %d lives, taken %d = served %d + refused %d + failed %d + open %d\n", n.File, state, incarnations,
		total.Received, total.Served, total.Rejected, total.Failed, total.Open)
	if n.Uncertain == 0 {
		return
	}
	out.printf("%s: %d in doubt after kills, %d settled by the tally\n", n.File, n.Uncertain, n.Settled)
	for _, id := range n.UnsettledIDs {
		out.printf("%s: in doubt %s\n", n.File, id)
	}
}

// printTrails prints the last changes of each file, one by one.
func printTrails(c *cobra.Command, files []string) error {
	failed := false
	for _, file := range files {
		_, data, err := statsfile.ReadFile(file)
		if err != nil {
			c.PrintErrf("%s: %v\n", file, err)
			failed = true
			continue
		}
		if err := printTrail(c.OutOrStdout(), data); err != nil {
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
