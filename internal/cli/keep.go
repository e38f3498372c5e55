package cli

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"

	"github.com/spf13/cobra"
)

// keepCommand groups the commands that work on the idempotency store of a node.
func keepCommand(configPath *string) *cobra.Command {
	c := &cobra.Command{
		Use:   "keep",
		Short: "What must not run twice: make, check, list, compact a box's store",
	}
	c.AddCommand(
		keepInitCommand(),
		keepCheckCommand(configPath),
		keepListCommand(configPath),
		keepCompactCommand(configPath),
		keepAcceptCommand(configPath),
	)
	return c
}

func keepInitCommand() *cobra.Command {
	var node string
	c := &cobra.Command{
		Use:   "init DIR",
		Short: "Make an empty store",
		Long: "init makes an empty store in a folder, which is made if it is not there.\n\n" +
			"It says that nothing this box has run is still being repeated. Where an earlier store of the box is lost, wait for the horizon first.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if node == "" {
				return errors.New("--box: the name of the box it is for, as in the platform's configuration")
			}
			dir := args[0]
			if err := os.MkdirAll(dir, 0o750); err != nil {
				return err
			}
			if err := wal.Init(wal.DirDisk(dir), node, wallClock(), rand.Uint64()); err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			out := newPrinter(c.OutOrStdout())
			out.printf("%s: an empty store for box %s\n", dir, node)
			return out.err
		},
	}
	c.Flags().StringVar(&node, "box", "", "the box's name")
	return c
}

func keepCheckCommand(configPath *string) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check DIR...",
		Short: "Read stores as a start would, and tell what is there and what is damaged",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, dirs []string) error {
			return checkStores(c, dirs, *configPath, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

func checkStores(c *cobra.Command, dirs []string, configPath string, asJSON bool) error {
	out := newPrinter(c.OutOrStdout())
	var reports []storeReport
	failed := false
	for _, dir := range dirs {
		report, _, err := readStore(dir, configPath, nil)
		if err != nil {
			c.PrintErrf("%s: %v\n", dir, err)
			failed = true
			continue
		}
		if len(report.Damage) > 0 {
			failed = true
		}
		reports = append(reports, report)
		if !asJSON {
			report.print(out)
		}
	}
	if asJSON {
		out.err = printJSON(out.out, reports)
	}
	if out.err == nil && failed {
		return errReported
	}
	return out.err
}

func keepListCommand(configPath *string) *cobra.Command {
	var unknownOnly, records bool
	c := &cobra.Command{
		Use:   "list DIR",
		Short: "List the keys that are kept, the oldest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := args[0]
			var err error
			if records {
				err = listRecords(c.OutOrStdout(), dir, *configPath)
			} else {
				err = listKeys(c.OutOrStdout(), dir, *configPath, unknownOnly)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&unknownOnly, "in-doubt", false, "only those that may have run or not")
	c.Flags().BoolVar(&records, "records", false, "all records instead, in their order")
	c.MarkFlagsMutuallyExclusive("in-doubt", "records")
	return c
}

// listRecords prints all records of a store in their order.
func listRecords(out io.Writer, dir, configPath string) error {
	w := bufio.NewWriter(out)
	_, _, err := readStore(dir, configPath, func(e idempotency.LogEntry) error {
		_, err := fmt.Fprintf(w, "%d %s %s %x %d bytes\n", e.Seq, timestamp(e.At), e.Kind, e.Key, len(e.Data))
		return err
	})
	if err != nil {
		return err
	}
	return w.Flush()
}

// listKeys prints the keys of a store, the oldest first; unknownOnly leaves out
// those whose outcome is known.
func listKeys(out io.Writer, dir, configPath string, unknownOnly bool) error {
	_, store, err := readStore(dir, configPath, nil)
	if err != nil {
		return err
	}
	type entry struct {
		key   idempotency.Key
		at    time.Duration
		state string
		bytes int
	}
	var entries []entry
	store.ForEachKey(func(key idempotency.Key, at time.Duration, state string, bytes int) {
		if !unknownOnly || state == "in doubt" {
			entries = append(entries, entry{key, at, state, bytes})
		}
	})
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.at, b.at), slices.Compare(a.key[:], b.key[:]))
	})
	return printBuffered(out, func(p *printer) {
		for _, e := range entries {
			p.printf("%s %x %s %d bytes\n", timestamp(e.at), e.key, e.state, e.bytes)
		}
	})
}

func keepCompactCommand(configPath *string) *cobra.Command {
	c := storeChangeCommand(configPath, func(store *idempotency.Store, now time.Duration) { store.Sweep(now) })
	c.Use = "compact DIR"
	c.Short = "Age what is past its lifetime, and replace records by prints"
	c.Long = "compact works by the bounds of --conf, or the usual ones, " +
		"on a store that no box uses. A box that runs does the same by itself."
	return c
}

func keepAcceptCommand(configPath *string) *cobra.Command {
	c := storeChangeCommand(configPath, func(store *idempotency.Store, now time.Duration) { store.AcceptHistory(now) })
	c.Use = "accept DIR"
	c.Short = "Answer for records that are lost"
	c.Long = "accept says that whatever ran and is lost from the records is not being repeated any more, or may run twice.\n" +
		"From then on what is not in the store is taken for fresh again. It is recorded in the store."
	return c
}

// storeChangeCommand returns a command that makes a change to the store in a
// directory and then prints what is in it. The caller sets its texts.
func storeChangeCommand(configPath *string, change func(store *idempotency.Store, now time.Duration)) *cobra.Command {
	return &cobra.Command{
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := args[0]
			if err := changeStore(dir, *configPath, change); err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			report, _, err := readStore(dir, *configPath, nil)
			if err != nil {
				return err
			}
			out := newPrinter(c.OutOrStdout())
			report.print(out)
			return out.err
		},
	}
}
