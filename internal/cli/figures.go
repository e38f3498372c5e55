package cli

import (
	"bufio"
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"frosthub/accounting"
	"frosthub/internal/statsfile"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// asked is what the figures command is asked for.
type asked struct {
	json, csv, trail bool
	since, by, tally string
}

func figuresCommand() *cobra.Command {
	var a asked
	c := &cobra.Command{
		Use:   "figures FILE...",
		Short: "Show the figures of boxes, and whether they add up",
		Long: "figures reads figures files, of boxes that run or do not, checks each and shows the sum of all.\n" +
			"The exit status is 1 where one does not add up or can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error { return a.run(c.OutOrStdout(), c.ErrOrStderr(), files) },
	}
	f := c.Flags()
	f.BoolVar(&a.json, "json", false, "as JSON, one report for each file")
	f.BoolVar(&a.csv, "csv", false, "as comma separated values")
	f.StringVar(&a.since, "since", "", "only periods that began since then: a span back as 2h, or a time as 2026-03-01T06:00:00Z")
	f.StringVar(&a.by, "by", "handler", "handler, front, reason, customer, period or life")
	f.BoolVar(&a.trail, "trail", false, "the last changes one by one instead")
	f.StringVar(&a.tally, "tally", "", "a file of lines 'id figure' that settles ids in doubt")
	c.MarkFlagsMutuallyExclusive("json", "csv", "trail")
	return c
}

// box is one file's figures.
type box struct {
	File      string            `json:"file"`
	Runs      bool              `json:"runs"` // a process holds it
	Report    accounting.Report `json:"report"`
	InDoubt   int64             `json:"in_doubt"`   // ids whose answer may have left or not
	Settled   int64             `json:"settled"`    // and of them those that the tally settled
	DoubtIDs  []string          `json:"doubt_ids"`  // the others
	Different string            `json:"difference"` // what does not add up
}

func (a *asked) run(out, errs io.Writer, files []string) error {
	since, err := a.from()
	if err != nil {
		return err
	}
	keys := []string{"handler", "front", "reason", "customer", "period", "life"}
	if !slices.Contains(keys, a.by) {
		return fmt.Errorf("--by %s: one of %s", a.by, strings.Join(keys, ", "))
	}
	if since > 0 && (a.by == "customer" || a.by == "life") {
		return fmt.Errorf("--since goes by periods, which are not kept by %s", a.by)
	}
	tally, err := readTally(a.tally)
	if err != nil {
		return err
	}
	bad := false
	var boxes []box
	for _, file := range files {
		book, data, err := statsfile.ReadFile(file)
		if err != nil {
			fmt.Fprintf(errs, "%s: %v\n", file, err)
			bad = true
			continue
		}
		if a.trail {
			if err := printTrail(out, data); err != nil {
				return err
			}
			continue
		}
		x := box{File: file, Runs: statsfile.Locked(file)}
		if list, _, _ := book.Incarnations(); !x.Runs && len(list) > 0 && list[len(list)-1].Ending == accounting.Running {
			book.CloseAll(accounting.OpenAtKill, accounting.Killed) // as its next start will
		}
		x.Report = book.Report(since > 0 || a.by == "period" || a.json)
		x.settle(tally)
		if x.Different = x.Report.Check(); x.Different != "" {
			fmt.Fprintf(errs, "%s: figures differ: %s\n", file, x.Different)
			bad = true
		}
		if since > 0 {
			x.Report.Periods = slices.DeleteFunc(x.Report.Periods, func(p accounting.Period) bool { return p.Start < since })
		}
		boxes = append(boxes, x)
	}
	switch {
	case a.trail:
	case a.json:
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		err = e.Encode(boxes)
	case a.csv:
		err = printCSV(out, a.table(boxes, since > 0))
	default:
		err = a.print(out, boxes, since > 0)
	}
	if err == nil && bad {
		return errTold
	}
	return err
}

func (a *asked) from() (time.Duration, error) {
	if a.since == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(a.since); err == nil && d > 0 {
		return time.Duration(time.Now().Add(-d).UnixNano()), nil
	}
	t, err := time.Parse(time.RFC3339, a.since)
	if err != nil {
		return 0, fmt.Errorf("--since %s: a span back as 2h, or a time as 2026-03-01T06:00:00Z", a.since)
	}
	return time.Duration(t.UnixNano()), nil
}

// readTally reads what callers know of their reqs.
func readTally(path string) (map[uint64]accounting.Category, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	words := map[string]accounting.Category{"served": accounting.Served, "refused": accounting.Rejected, "failed": accounting.Failed}
	out := map[uint64]accounting.Category{}
	s := bufio.NewScanner(f)
	for n := 1; s.Scan(); n++ {
		w := strings.Fields(s.Text())
		if len(w) == 0 {
			continue
		}
		id, err := strconv.ParseUint(w[0], 16, 64)
		if err != nil || len(w) != 2 || words[w[1]] == 0 {
			return nil, fmt.Errorf("%s:%d: not understood, expected an id in hexadecimal and served, refused or failed", path, n)
		}
		out[id] = words[w[1]]
	}
	return out, s.Err()
}

// settle has the tally say what became of the ids in doubt.
func (x *box) settle(tally map[uint64]accounting.Category) {
	for i := range x.Report.Incarnations {
		l := &x.Report.Incarnations[i]
		x.InDoubt += l.Uncertain
		for _, id := range l.UncertainIDs {
			f, ok := tally[id]
			if !ok {
				x.DoubtIDs = append(x.DoubtIDs, fmt.Sprintf("%016x", id))
				continue
			}
			x.Settled++
			l.Counts = l.Counts.Reclassified(f)
			x.Report.Total = x.Report.Total.Reclassified(f)
		}
	}
}

// line is one of a table.
type line struct {
	key string
	accounting.Counts
}

// table sums the figures of all boxes by what was asked for.
func (a *asked) table(boxes []box, periods bool) []line {
	var out []line
	add := func(key string, f accounting.Counts) {
		i := slices.IndexFunc(out, func(l line) bool { return l.key == key })
		if i < 0 {
			out = append(out, line{key: key})
			i = len(out) - 1
		}
		out[i].Counts = out[i].Plus(f)
	}
	row := func(r accounting.Row) {
		switch a.by {
		case "front":
			add(r.Front, r.Figures)
		case "reason":
			for why, n := range r.Reasons {
				f := accounting.Counts{Received: n}
				f.Add(accounting.ReasonOf(why), n)
				add(why, f)
			}
			if r.Figures.Open != 0 {
				add("(open)", accounting.Counts{Received: r.Figures.Open, Open: r.Figures.Open})
			}
		default:
			add(r.Handler, r.Figures)
		}
	}
	for _, x := range boxes {
		switch {
		case a.by == "customer":
			for _, c := range x.Report.Customers {
				add(c.Name, c.Figures)
			}
		case a.by == "life":
			add("earlier", x.Report.Earlier)
			for _, l := range x.Report.Incarnations {
				started := time.Unix(0, int64(l.Started)).UTC().Format(time.RFC3339)
				add(fmt.Sprintf("%s life %d, %s, %s", x.File, l.Number, started, l.Ending), l.Counts)
			}
		case a.by == "period":
			for _, p := range x.Report.Periods {
				var f accounting.Counts
				for _, r := range p.Rows {
					f = f.Plus(r.Figures)
				}
				add(time.Unix(0, int64(p.Start)).UTC().Format(time.RFC3339), f)
			}
		case periods:
			for _, p := range x.Report.Periods {
				for _, r := range p.Rows {
					row(r)
				}
			}
		default:
			for _, r := range x.Report.Rows {
				row(r)
			}
		}
	}
	if a.by != "life" {
		slices.SortStableFunc(out, func(x, y line) int { return cmp.Compare(x.key, y.key) })
	}
	return out
}

func sumOf(lines []line) (f accounting.Counts) {
	for _, l := range lines {
		f = f.Plus(l.Counts)
	}
	return f
}

var columns = []string{"taken", "served", "refused", "failed", "open"}

func cellsOf(f accounting.Counts) []string {
	var out []string
	for _, n := range [...]int64{f.Received, f.Served, f.Rejected, f.Failed, f.Open} {
		out = append(out, strconv.FormatInt(n, 10))
	}
	return out
}

func printCSV(out io.Writer, lines []line) error {
	w := csv.NewWriter(out)
	_ = w.Write(append([]string{"key"}, columns...)) // an error stays until Flush
	for _, l := range lines {
		_ = w.Write(append([]string{l.key}, cellsOf(l.Counts)...))
	}
	w.Flush()
	return w.Error()
}

func (a *asked) print(out io.Writer, boxes []box, periods bool) error {
	for _, x := range boxes {
		state, lives := "no process holds it", x.Report.EarlierIncarnations+uint64(len(x.Report.Incarnations))
		if x.Runs {
			state = "in use"
		}
		f := x.Report.Total
		fmt.Fprintf(out, "%s: %s, %d lives, taken %d = served %d + refused %d + failed %d + open %d\n", x.File, state, lives,
			f.Received, f.Served, f.Rejected, f.Failed, f.Open)
		if x.InDoubt > 0 {
			fmt.Fprintf(out, "%s: %d in doubt after kills, %d settled by the tally\n", x.File, x.InDoubt, x.Settled)
			for _, id := range x.DoubtIDs {
				fmt.Fprintf(out, "%s: in doubt %s\n", x.File, id)
			}
		}
	}
	lines := a.table(boxes, periods)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, a.by+"\t"+strings.Join(columns, "\t")+"\t")
	for _, l := range append(lines, line{"sum", sumOf(lines)}) {
		fmt.Fprintln(w, l.key+"\t"+strings.Join(cellsOf(l.Counts), "\t")+"\t")
	}
	return w.Flush()
}

func printTrail(out io.Writer, data []byte) error {
	ops, err := statsfile.RecentEntries(data)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(out)
	for i := range ops {
		fmt.Fprintln(w, time.Unix(0, int64(ops[i].At)).UTC().Format("2006-01-02T15:04:05.000Z"), ops[i].String())
	}
	return w.Flush()
}
