package cli

import (
	"path/filepath"
	"time"

	"frosthub/backend"
	"frosthub/idempotency"
	"frosthub/internal/conffile"
	"frosthub/internal/filelock"
	"frosthub/internal/wal"
)

// wallClock returns the time of day in nanoseconds since 1970.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// storeConfig returns the limits of the operator's file, or the default ones
// without a file.
func storeConfig(configPath string) (idempotency.Config, error) {
	var config backend.IdempotencyConfig
	if configPath != "" {
		operator, err := conffile.Load(configPath)
		if err != nil {
			return idempotency.Config{}, err
		}
		config = operator.Idempotency
	}
	config.SetDefaults(0)
	return config.Store, nil
}

// storeReport is what is in the idempotency store of a directory. Operators'
// scripts read it as JSON, whose keys are fixed.
type storeReport struct {
	Dir       string            `json:"dir"`
	Node      string            `json:"box"`
	InUse     bool              `json:"runs"` // a process holds its lock
	Records   int               `json:"records"`
	TornBytes int               `json:"cut"`    // at its end, never confirmed by the disk
	Damage    []string          `json:"damage"` // a line each
	Store     idempotency.Stats `json:"store"`
}

// readStore reads a store as the start of a node would, without changing it. It
// passes each record to each, unless that is nil.
func readStore(dir, configPath string, each func(idempotency.LogEntry) error) (storeReport, *idempotency.Store, error) {
	report := storeReport{Dir: dir, InUse: filelock.IsLocked(filepath.Join(dir, wal.LockName))}
	config, err := storeConfig(configPath)
	if err != nil {
		return report, nil, err
	}
	store := idempotency.New(config)
	contents, err := wal.Read(wal.DirDisk(dir), "", store, each)
	if err != nil {
		return report, nil, err
	}
	store.FinishLoading(wallClock(), contents.NeedsNewSegment(), contents.LastSegment)
	report.Node = contents.ID.Node
	report.Records = contents.Records
	report.TornBytes = contents.TornBytes
	report.Damage = contents.Damage
	report.Store = store.Stats()
	report.Store.Incarnation-- // loading counted this process as an incarnation
	return report, store, nil
}

// changeStore opens a store that no process uses, makes a change and commits it.
func changeStore(dir, configPath string, change func(store *idempotency.Store, now time.Duration)) error {
	config, err := storeConfig(configPath)
	if err != nil {
		return err
	}
	disk := wal.DirDisk(dir)
	if _, err := wal.ReadID(disk); err != nil {
		return err
	}
	lock, err := filelock.Acquire(filepath.Join(dir, wal.LockName))
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }()
	store := idempotency.New(config)
	now := wallClock()
	writer, _, err := wal.Open(disk, "", store, now, nil)
	if err != nil {
		return err
	}
	change(store, now)
	if _, err := writer.Commit(store.TakeEntries()); err != nil {
		return err
	}
	return writer.Close()
}

func (r *storeReport) print(out *printer) {
	state := "no process uses it"
	if r.InUse {
		state = "in use"
	}
	s := r.Store
	out.printf("%s: box %s, %s, %d lives, %d records in %d segments since %s\n",
		r.Dir, r.Node, state, s.Incarnation, r.Records, s.Segments, timestamp(s.Since))
	out.printf("%s: %d keys, %d of them in doubt, %d bytes of results, prints of %d more\n",
		r.Dir, s.Keys, s.OutcomeUnknown, s.ResultBytes, s.Fingerprints)
	if r.TornBytes > 0 {
		out.printf("%s: %d bytes at its end were never confirmed, and are cut\n", r.Dir, r.TornBytes)
	}
	for _, damage := range r.Damage {
		out.printf("%s: DAMAGED: %s\n", r.Dir, damage)
	}
	if s.LostBefore > 0 {
		out.printf("%s: what was made before %s and is not kept is refused, as records of it may be lost\n",
			r.Dir, timestamp(s.LostBefore))
	}
}
