package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"frosthub/backend"
	"frosthub/idempotency"
	"frosthub/internal/conffile"
	"frosthub/internal/filelock"
	"frosthub/internal/wal"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

func keepCommand(conf *string) *cobra.Command {
	c := &cobra.Command{
		Use:   "keep",
		Short: "What must not run twice: make, check, list, compact a box's store",
	}
	var box string
	makes := &cobra.Command{
		Use:   "init DIR",
		Short: "Make an empty store",
		Long: "init makes an empty store in a folder, which is made if it is not there.\n\n" +
			"It says that nothing this box has run is still being repeated. Where an earlier store of the box is lost, wait for the horizon first.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if box == "" {
				return errors.New("--box: the name of the box it is for, as in the platform's configuration")
			}
			if err := os.MkdirAll(args[0], 0o750); err != nil {
				return err
			}
			if err := wal.Init(wal.DirDisk(args[0]), box, time.Duration(time.Now().UnixNano()), rand.Uint64()); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: an empty store for box %s\n", args[0], box)
			return nil
		},
	}
	makes.Flags().StringVar(&box, "box", "", "the box's name")
	var asJSON bool
	look := &cobra.Command{
		Use:   "check DIR...",
		Short: "Read stores as a start would, and tell what is there and what is damaged",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, dirs []string) error {
			var all []storeReport
			bad := false
			for _, dir := range dirs {
				r, _, err := readStore(dir, *conf, nil)
				if err != nil {
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", dir, err)
					bad = true
					continue
				}
				bad = bad || len(r.Damage) > 0
				all = append(all, r)
				if !asJSON {
					r.print(c.OutOrStdout())
				}
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				if err := e.Encode(all); err != nil {
					return err
				}
			}
			if bad {
				return errTold
			}
			return nil
		},
	}
	look.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	var doubts, records bool
	list := &cobra.Command{
		Use:   "list DIR",
		Short: "List the keys that are kept, the oldest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			w := bufio.NewWriter(c.OutOrStdout())
			var each func(idempotency.LogEntry) error
			if records {
				each = func(r idempotency.LogEntry) error {
					_, err := fmt.Fprintf(w, "%d %s %s %x %d bytes\n", r.Seq, stamp(r.At), r.Kind, r.Key, len(r.Data))
					return err
				}
			}
			_, s, err := readStore(args[0], *conf, each)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if !records {
				listKeys(w, s, doubts)
			}
			return w.Flush()
		},
	}
	list.Flags().BoolVar(&doubts, "in-doubt", false, "only those that may have run or not")
	list.Flags().BoolVar(&records, "records", false, "all records instead, in their order")
	list.MarkFlagsMutuallyExclusive("in-doubt", "records")
	change := func(use, short, long string, do func(s *idempotency.Store, now time.Duration)) *cobra.Command {
		return &cobra.Command{
			Use: use, Short: short, Long: long, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				if err := changeStore(args[0], *conf, do); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				r, _, err := readStore(args[0], *conf, nil)
				if err == nil {
					r.print(c.OutOrStdout())
				}
				return err
			},
		}
	}
	c.AddCommand(makes, look, list,
		change("compact DIR", "Age what is past its lifetime, and replace records by prints", "compact works by the bounds of --conf, or the usual ones, "+
			"on a store that no box uses. A box that runs does the same by itself.", func(s *idempotency.Store, now time.Duration) { s.Sweep(now) }),
		change("accept DIR", "Answer for records that are lost",
			"accept says that whatever ran and is lost from the records is not being repeated any more, or may run twice.\n"+
				"From then on what is not in the store is taken for fresh again. It is recorded in the store.",
			func(s *idempotency.Store, now time.Duration) { s.AcceptHistory(now) }))
	return c
}

func stamp(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// bounds are those of the operator's file, or the usual ones.
func bounds(conf string) (idempotency.Config, error) {
	var k backend.IdempotencyConfig
	if conf != "" {
		op, err := conffile.Load(conf)
		if err != nil {
			return idempotency.Config{}, err
		}
		k = op.Idempotency
	}
	k.SetDefaults(0)
	return k.Store, nil
}

// storeReport is what is in a store.
type storeReport struct {
	Dir     string            `json:"dir"`
	Box     string            `json:"box"`
	Runs    bool              `json:"runs"` // a process uses it
	Records int               `json:"records"`
	Cut     int               `json:"cut"`
	Damage  []string          `json:"damage"`
	Store   idempotency.Stats `json:"store"`
}

func readStore(dir, conf string, each func(idempotency.LogEntry) error) (storeReport, *idempotency.Store, error) {
	r := storeReport{Dir: dir, Runs: filelock.IsLocked(filepath.Join(dir, wal.LockName))}
	cfg, err := bounds(conf)
	if err != nil {
		return r, nil, err
	}
	s := idempotency.New(cfg)
	found, err := wal.Read(wal.DirDisk(dir), "", s, each)
	if err != nil {
		return r, nil, err
	}
	s.FinishLoading(time.Duration(time.Now().UnixNano()), found.NeedsNewSegment(), found.LastSegment) // in memory: as a start would find it
	r.Box, r.Records, r.Cut, r.Damage, r.Store = found.ID.Node, found.Records, found.TornBytes, found.Damage, s.Stats()
	r.Store.Incarnation-- // the one that looks is none
	return r, s, nil
}

// changeStore has a life begin that does one thing, and end.
func changeStore(dir, conf string, do func(s *idempotency.Store, now time.Duration)) error {
	cfg, err := bounds(conf)
	if err != nil {
		return err
	}
	disk := wal.DirDisk(dir)
	if _, err := wal.Identify(disk); err != nil {
		return err
	}
	lock, err := filelock.Acquire(filepath.Join(dir, wal.LockName))
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	s := idempotency.New(cfg)
	now := time.Duration(time.Now().UnixNano())
	w, _, err := wal.Open(disk, "", s, now, nil)
	if err != nil {
		return err
	}
	do(s, now)
	if _, err := w.Commit(s.TakeEntries()); err != nil {
		return err
	}
	return w.Close()
}

func (r *storeReport) print(out io.Writer) {
	state := "no process uses it"
	if r.Runs {
		state = "in use"
	}
	s := r.Store
	fmt.Fprintf(out, "%s: box %s, %s, %d lives, %d records in %d segments since %s\n", r.Dir, r.Box, state, s.Incarnation, r.Records, s.Segments, stamp(s.Since))
	fmt.Fprintf(out, "%s: %d keys, %d of them in doubt, %d bytes of results, prints of %d more\n", r.Dir, s.Keys, s.OutcomeUnknown, s.Bytes, s.Fingerprints)
	if r.Cut > 0 {
		fmt.Fprintf(out, "%s: %d bytes at its end were never confirmed, and are cut\n", r.Dir, r.Cut)
	}
	for _, what := range r.Damage {
		fmt.Fprintf(out, "%s: DAMAGED: %s\n", r.Dir, what)
	}
	if s.LostBefore > 0 {
		fmt.Fprintf(out, "%s: what was made before %s and is not kept is refused, as records of it may be lost\n", r.Dir, stamp(s.LostBefore))
	}
}

func listKeys(w io.Writer, s *idempotency.Store, doubts bool) {
	type row struct {
		key   idempotency.Key
		at    time.Duration
		state string
		bytes int
	}
	var rows []row
	s.Each(func(key idempotency.Key, at time.Duration, state string, bytes int) {
		if !doubts || state == "in doubt" {
			rows = append(rows, row{key, at, state, bytes})
		}
	})
	slices.SortFunc(rows, func(x, y row) int { return cmp.Or(cmp.Compare(x.at, y.at), slices.Compare(x.key[:], y.key[:])) })
	for _, x := range rows {
		fmt.Fprintf(w, "%s %x %s %d bytes\n", stamp(x.at), x.key, x.state, x.bytes)
	}
}
