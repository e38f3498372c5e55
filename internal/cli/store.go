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

// wallClock returns the current time in nanoseconds since 1970.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// storeConfig returns the store limits in the operator's file. Limits that are not
// set there, or all of them without a file, have their defaults.
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

// storeReport summarizes the idempotency store in a directory. The JSON keys are
// fixed because operators' scripts read them.
type storeReport struct {
	Dir       string            `json:"dir"`
	Node      string            `json:"box"`
	InUse     bool              `json:"runs"` // a process holds the lock of the store
	Records   int               `json:"records"`
	TornBytes int               `json:"cut"`    // size of a write at the end of the log that was never durable
	Damage    []string          `json:"damage"` // one line for each finding
	Store     idempotency.Stats `json:"store"`
}

// readStore reads a store as a node does at its start, but does not change it. It
// calls each for every record, unless each is nil.
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
	report.Store.Incarnation-- // loading counted this command as an incarnation
	return report, store, nil
}

// changeStore opens a store, applies a change and commits it. It holds the lock of
// the store meanwhile, and fails if another process holds it.
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
	stats := r.Store
	out.printf("%s: node %s, %s, %d incarnations, %d records in %d segments since %s\n",
		r.Dir, r.Node, state, stats.Incarnation, r.Records, stats.Segments, timestamp(stats.Since))
	out.printf("%s: %d keys, %d of them with unknown outcome, %d bytes of results, fingerprints of %d more\n",
		r.Dir, stats.Keys, stats.OutcomeUnknown, stats.ResultBytes, stats.Fingerprints)
	if r.TornBytes > 0 {
		out.printf("%s: %d bytes at the end of the log were never confirmed by the disk and are discarded\n", r.Dir, r.TornBytes)
	}
	for _, damage := range r.Damage {
		out.printf("%s: DAMAGED: %s\n", r.Dir, damage)
	}
	if stats.LostBefore > 0 {
		out.printf("%s: requests first made before %s that are not in the store are rejected, as records of them may be lost\n",
			r.Dir, timestamp(stats.LostBefore))
	}
}
