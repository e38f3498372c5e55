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

// keepCommand groups the commands that work on the idempotency store of a node,
// which records the requests that must not run twice.
func keepCommand(configPath *string) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keep",
		Short: "Create, check, list and compact a node's store of requests that must not run twice",
	}
	cmd.AddCommand(
		keepInitCommand(),
		keepCheckCommand(configPath),
		keepListCommand(configPath),
		keepCompactCommand(configPath),
		keepAcceptCommand(configPath),
	)
	return cmd
}

func keepInitCommand() *cobra.Command {
	var node string
	cmd := &cobra.Command{
		Use:   "init DIR",
		Short: "Create an empty store",
		Long: "init creates an empty store in a directory, which it creates if it does not exist.\n\n" +
			"An empty store asserts that no request that this node ran is still being retried. If an earlier store of the node was lost, first wait until the retry horizon has passed.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if node == "" {
				return errors.New("--box is missing: expected the name of the node, as in the platform's configuration")
			}
			dir := args[0]
			if err := os.MkdirAll(dir, 0o750); err != nil {
				return err
			}
			if err := wal.Init(wal.DirDisk(dir), node, wallClock(), rand.Uint64()); err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			out := newPrinter(cmd.OutOrStdout())
			out.printf("%s: created an empty store for node %s\n", dir, node)
			return out.err
		},
	}
	cmd.Flags().StringVar(&node, "box", "", "name of the node")
	return cmd
}

func keepCheckCommand(configPath *string) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check DIR...",
		Short: "Read stores as a node does at its start, and report their contents and any damage",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			return checkStores(cmd, dirs, *configPath, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

func checkStores(cmd *cobra.Command, dirs []string, configPath string, asJSON bool) error {
	out := newPrinter(cmd.OutOrStdout())
	var reports []storeReport
	failed := false
	for _, dir := range dirs {
		report, _, err := readStore(dir, configPath, nil)
		if err != nil {
			cmd.PrintErrf("%s: %v\n", dir, err)
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
	cmd := &cobra.Command{
		Use:   "list DIR",
		Short: "List the keys in a store, the oldest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := args[0]
			var err error
			if records {
				err = listRecords(cmd.OutOrStdout(), dir, *configPath)
			} else {
				err = listKeys(cmd.OutOrStdout(), dir, *configPath, unknownOnly)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&unknownOnly, "in-doubt", false, "only keys whose request may or may not have run")
	cmd.Flags().BoolVar(&records, "records", false, "all records instead, in the order of the log")
	cmd.MarkFlagsMutuallyExclusive("in-doubt", "records")
	return cmd
}

// listRecords prints all records of a store in the order of the log.
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

// listKeys prints the keys of a store, the oldest first. unknownOnly selects those
// whose outcome is unknown.
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
	cmd := storeChangeCommand(configPath, func(store *idempotency.Store, now time.Duration) { store.Sweep(now) })
	cmd.Use = "compact DIR"
	cmd.Short = "Expire records past their lifetime, and replace them by fingerprints"
	cmd.Long = "compact applies the limits of --conf, or the default ones, " +
		"to a store that no node uses. A running node does the same by itself."
	return cmd
}

func keepAcceptCommand(configPath *string) *cobra.Command {
	cmd := storeChangeCommand(configPath, func(store *idempotency.Store, now time.Duration) { store.AcceptHistory(now) })
	cmd.Use = "accept DIR"
	cmd.Short = "Accept the loss of records"
	cmd.Long = "accept asserts that each request that ran and whose records are lost is not being retried any more, or may run twice.\n" +
		"From then on a request that is not in the store is treated as new again. The store records the decision."
	return cmd
}

// storeChangeCommand returns a command that applies a change to the store in a
// directory and then prints a report of the store. The caller sets Use and the help
// texts.
func storeChangeCommand(configPath *string, change func(store *idempotency.Store, now time.Duration)) *cobra.Command {
	return &cobra.Command{
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := args[0]
			if err := changeStore(dir, *configPath, change); err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			report, _, err := readStore(dir, *configPath, nil)
			if err != nil {
				return err
			}
			out := newPrinter(cmd.OutOrStdout())
			report.print(out)
			return out.err
		},
	}
}
