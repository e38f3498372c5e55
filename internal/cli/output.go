package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// printer writes text and keeps the first error, after which it writes nothing
// more. A command prints line by line and returns err at the end.
type printer struct {
	out io.Writer
	err error
}

func newPrinter(out io.Writer) *printer { return &printer{out: out} }

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

func (p *printer) println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.out, args...)
	}
}

// printTable prints the text that fill writes as aligned columns. Cells end with a
// tab, lines with a newline. The flags are those of package tabwriter.
func printTable(out io.Writer, flags uint, fill func(*printer)) error {
	const (
		minWidth = 0
		tabWidth = 0
		padding  = 2
	)
	w := tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', flags)
	p := newPrinter(w)
	fill(p)
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}

// printBuffered prints the text that fill writes through a buffer.
func printBuffered(out io.Writer, fill func(*printer)) error {
	w := bufio.NewWriter(out)
	p := newPrinter(w)
	fill(p)
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// timestamp formats a time, given in nanoseconds since 1970, as UTC with
// milliseconds.
func timestamp(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// timestampSeconds formats a time, given in nanoseconds since 1970, as UTC with
// seconds.
func timestampSeconds(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format(time.RFC3339)
}
