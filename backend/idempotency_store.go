package backend

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/filelock"
	"frosthub/internal/wal"
)

// Times and limits of opening and closing the store.
const (
	// commitRecords is how many waiting records are committed without waiting for the interval.
	commitRecords = 64
	// closeTimeout is how long the disk is waited for when the process ends: all answers have left by then.
	closeTimeout = 50 * time.Millisecond
	// loadProgressInterval is the time between log lines on how far the loading is.
	loadProgressInterval = time.Second
	// recordsPerCheck is how many records are loaded between looks at the clock.
	recordsPerCheck = 4096
)

// storeState is what the store can do.
type storeState uint8

// The states of the store. A state never changes back:
//
//	loading → ready         the store was loaded (onOpened)
//	loading → unavailable   it could not be loaded (onOpened)
//	ready → read only       the disk has failed (onDurable), or the incarnation can't be counted (raiseIncarnation)
const (
	storeLoading     storeState = iota
	storeReady                  // it guards requests
	storeReadOnly               // it knows the requests of before, but can guard no new ones until a restart
	storeUnavailable            // it knows nothing until a restart
)

var storeStateNames = [...]string{
	storeLoading:     "loading",
	storeReady:       "ready",
	storeReadOnly:    "read only",
	storeUnavailable: "unavailable",
}

// String returns the name of the state.
func (s storeState) String() string { return storeStateNames[s] }

// storeState returns what the store can do.
func (g *idempotencyGuard) storeState() storeState {
	switch {
	case g.store == nil && g.storeFailed:
		return storeUnavailable
	case g.store == nil:
		return storeLoading
	case g.storeFailed:
		return storeReadOnly
	}
	return storeReady
}

// storeMessage is the log message of all that is logged about the store.
const storeMessage = "idempotency store"

var errClosing = errors.New("the process ends")

// loadedStore is a store that was opened, with what was found beside it.
type loadedStore struct {
	store    *idempotency.Store
	log      *wal.Writer
	lock     *os.File
	contents wal.Contents
	setAside bool // its records were put aside: they count as lost

	// Of a node of a cluster only.
	roster     clusterRoster
	peerStates peerStateFile
}

// storeOpener opens the store of a node. It runs on a goroutine of its own and touches no state of the backend.
type storeOpener struct {
	node        string
	config      *IdempotencyConfig
	firstRoster *clusterRoster // what a node of a cluster starts with if it is new; nil for a node alone
	now         time.Duration  // since 1970
	stop        <-chan struct{}
	log         *slog.Logger
}

// open starts loading the store. Requests are served meanwhile; guarded ones are rejected.
func (g *idempotencyGuard) open() {
	b := g.backend
	if !g.enabled() {
		return
	}
	for name := range b.cfg.Idempotency.Handlers {
		if b.handlerIndex(name) < 0 {
			b.log.Warn(storeMessage, "dir", b.cfg.Idempotency.Dir, "reason", "no such handler", "handler", name)
		}
	}
	b.readClocks()
	g.startedAtWall = b.wallTime
	g.startedAt = b.now
	g.awaitingResult = map[*request]struct{}{}
	g.stopLoading = make(chan struct{})
	g.loadingDone = make(chan struct{})
	began := b.now
	opener := storeOpener{
		node:   b.cfg.Name,
		config: &b.cfg.Idempotency,
		now:    g.startedAtWall,
		stop:   g.stopLoading,
		log:    b.log,
	}
	if b.cluster.enabled() {
		configured := b.cfg.Cluster.roster()
		opener.firstRoster = &configured
	}
	go func() {
		defer close(g.loadingDone)
		loaded, err := opener.open()
		b.loop.Post(func() { g.onOpened(loaded, err, began) })
	}()
}

// open opens the store. On an error what it returns may hold the lock already.
func (o *storeOpener) open() (loaded loadedStore, err error) {
	dir := o.config.Dir
	disk := o.config.Disk
	if disk == nil {
		disk = wal.DirDisk(dir)
	}
	if _, err = wal.ReadID(disk); err != nil {
		return loaded, err
	}
	if loaded.lock, err = filelock.Acquire(filepath.Join(dir, wal.LockName)); err != nil {
		return loaded, err
	}
	if o.firstRoster != nil {
		if loaded.roster, err = readRoster(dir, *o.firstRoster); err != nil {
			return loaded, err
		}
		if loaded.peerStates, err = readPeerStates(dir); err != nil {
			return loaded, err
		}
	}
	if loaded.setAside, err = wal.BeginRead(disk); err != nil {
		return loaded, err
	}
	defer func() {
		if endErr := wal.EndRead(disk); err == nil {
			err = endErr
		}
	}()
	loaded.store = idempotency.New(o.config.Store)
	loaded.log, loaded.contents, err = wal.Open(disk, o.node, loaded.store, o.now, o.recordCounter())
	return loaded, err
}

// recordCounter returns a function to call for each record loaded. It logs the progress, and fails once the process
// ends.
func (o *storeOpener) recordCounter() func(idempotency.LogEntry) error {
	records := 0
	logged := time.Now()
	return func(idempotency.LogEntry) error {
		records++
		if records%recordsPerCheck != 0 {
			return nil
		}
		select {
		case <-o.stop:
			return errClosing
		default:
		}
		if time.Since(logged) >= loadProgressInterval {
			logged = time.Now()
			o.log.Info(storeMessage, "dir", o.config.Dir, "records_loaded", records)
		}
		return nil
	}
}

// onOpened takes the store that was opened into use.
func (g *idempotencyGuard) onOpened(loaded loadedStore, err error, began time.Duration) {
	b := g.backend
	dir := b.cfg.Idempotency.Dir
	g.lock = loaded.lock
	if err != nil {
		g.storeFailed = true
		b.log.Error(storeMessage, "dir", dir, "reason", err, "so", "guarded requests are rejected until a restart")
		return
	}
	if loaded.setAside {
		b.log.Error(storeMessage, "dir", dir, "reason", "starts died over it",
			"so", "its records are put aside; what ran is not known until the horizon has passed")
		loaded.store.MarkOutdated(g.now())
	}
	for _, damage := range loaded.contents.Damage {
		b.log.Error(storeMessage, "dir", dir, "damage", damage)
	}
	g.store = loaded.store
	g.log = wal.NewLog(loaded.log, b.cfg.Idempotency.CommitInterval, commitRecords, func(seq uint64, err error) {
		b.loop.Post(func() { g.onDurable(seq, err) })
	})
	if b.cluster.enabled() {
		b.cluster.startRecovery(g.store, &loaded)
	}
	g.flushEntries()
	g.stats.LoadingMS = (b.now - began).Milliseconds()
	stats := g.store.Stats()
	b.log.Info(storeMessage, "dir", dir,
		"incarnation", stats.Incarnation,
		"keys", stats.Keys,
		"outcome_unknown", stats.OutcomeUnknown,
		"fingerprints", stats.Fingerprints,
		"segments", stats.Segments,
		"torn_bytes", loaded.contents.TornBytes,
		"history_lost", stats.LostBefore > 0,
		"took", b.now-began)
}

// onDurable handles the log's report that all records up to seq are on disk, or that the disk has failed.
func (g *idempotencyGuard) onDurable(seq uint64, err error) {
	node := g.backend.cluster.node // nil for a node alone
	if err != nil {
		g.storeFailed = true
		g.backend.log.Error(storeMessage, "dir", g.backend.cfg.Idempotency.Dir, "reason", err,
			"so", "guarded requests are rejected until a restart, but for repeats")
	}
	switch {
	case err == nil && node != nil:
		node.MarkDurable(g.now(), seq)
	case err == nil:
		g.applyOutcomes(g.store.MarkDurable(seq))
	case node != nil:
		node.DiskFailed(g.now())
	default:
		g.applyOutcomes(g.store.MarkDiskFailed())
	}
}

// flushEntries gives the log what the store wrote in this turn.
func (g *idempotencyGuard) flushEntries() {
	if g.log != nil {
		g.log.Append(g.store.TakeEntries())
	}
}

func (g *idempotencyGuard) sweep() {
	if g.store != nil {
		g.store.Sweep(g.now())
	}
}

// close ends the log. All answers have left by then; what waits are records of failures and of entries that expired.
func (g *idempotencyGuard) close() {
	if !g.enabled() {
		return
	}
	close(g.stopLoading)
	if g.log != nil {
		g.flushEntries()
		if err := g.log.Close(closeTimeout); err != nil {
			g.backend.log.Error(storeMessage, "dir", g.backend.cfg.Idempotency.Dir, "reason", err)
			return // the lock is released by the end of the process
		}
	} else {
		select {
		case <-g.loadingDone:
		case <-time.After(closeTimeout):
			return
		}
	}
	if g.lock != nil {
		_ = g.lock.Close()
	}
}
