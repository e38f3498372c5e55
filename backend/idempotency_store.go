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

// Durations and limits of opening and closing the store.
const (
	// maxWaitingRecords is the number of waiting records that starts a commit before the interval has passed.
	maxWaitingRecords = 64
	// closeTimeout is how long to wait for the disk at shutdown, when all responses have been sent.
	closeTimeout = 50 * time.Millisecond
	// loadProgressInterval is the time between log lines about the progress of loading.
	loadProgressInterval = time.Second
	// recordsPerCheck is the number of records loaded between checks for a shutdown and for a due progress line.
	recordsPerCheck = 4096
)

// storeState is the availability of the store.
type storeState uint8

// The states of the store. A state never changes back:
//
//	loading → ready         the store was loaded (onOpened)
//	loading → unavailable   the store could not be loaded (onOpened)
//	ready → read only       the disk has failed (onDurable), or the incarnation can't be raised (raiseIncarnation)
const (
	storeLoading     storeState = iota
	storeReady                  // new requests can be guarded
	storeReadOnly               // entries can be read, but no new requests guarded until a restart
	storeUnavailable            // there are no entries until a restart
)

var storeStateNames = [...]string{
	storeLoading:     "loading",
	storeReady:       "ready",
	storeReadOnly:    "read only",
	storeUnavailable: "unavailable",
}

// String returns the name of the state.
func (s storeState) String() string { return storeStateNames[s] }

// storeState returns the current availability of the store.
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

// storeMessage is the message of all log lines about the store. Their attributes name the event.
const storeMessage = "idempotency store"

var errLoadAborted = errors.New("the process is shutting down")

// loadedStore is an opened store and the other state that was loaded from its directory.
type loadedStore struct {
	store       *idempotency.Store
	log         *wal.Writer
	lock        *os.File
	contents    wal.Contents
	quarantined bool // the records were quarantined and count as lost

	// Set only for a node of a cluster.
	roster     clusterRoster
	peerStates peerStateFile
}

// storeOpener opens the store of a node. It runs on its own goroutine and accesses no state of the backend.
type storeOpener struct {
	nodeName      string
	config        *IdempotencyConfig
	initialRoster *clusterRoster // the roster of a new node of a cluster; nil without a cluster
	now           time.Duration  // since 1970
	stop          <-chan struct{}
	log           *slog.Logger
}

// open starts loading the store. In the meantime requests are served, but guarded ones are rejected.
func (g *idempotencyGuard) open() {
	b := g.backend
	if !g.enabled() {
		return
	}
	for name := range b.cfg.Idempotency.Handlers {
		if b.handlerIndex(name) < 0 {
			b.log.Warn(storeMessage, "dir", b.cfg.Idempotency.Dir, "reason", "the settings have no such handler", "handler", name)
		}
	}
	b.readClocks()
	g.startedAtWall = b.wallTime
	g.startedAt = b.now
	g.awaitingResult = map[*request]struct{}{}
	g.stopLoading = make(chan struct{})
	g.loadingDone = make(chan struct{})
	loadStartedAt := b.now
	opener := storeOpener{
		nodeName: b.cfg.Name,
		config:   &b.cfg.Idempotency,
		now:      g.startedAtWall,
		stop:     g.stopLoading,
		log:      b.log,
	}
	if b.cluster.enabled() {
		configured := b.cfg.Cluster.roster()
		opener.initialRoster = &configured
	}
	go func() {
		defer close(g.loadingDone)
		loaded, err := opener.open()
		b.loop.Post(func() { g.onOpened(loaded, err, loadStartedAt) })
	}()
}

// open opens the store. If it fails, the result may already hold the lock.
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
	if o.initialRoster != nil {
		if loaded.roster, err = readRoster(dir, *o.initialRoster); err != nil {
			return loaded, err
		}
		if loaded.peerStates, err = readPeerStates(dir); err != nil {
			return loaded, err
		}
	}
	if loaded.quarantined, err = wal.BeginRead(disk); err != nil {
		return loaded, err
	}
	defer func() {
		if endErr := wal.EndRead(disk); err == nil {
			err = endErr
		}
	}()
	loaded.store = idempotency.New(o.config.Store)
	loaded.log, loaded.contents, err = wal.Open(disk, o.nodeName, loaded.store, o.now, o.recordCallback())
	return loaded, err
}

// recordCallback returns the function that wal.Open calls for each loaded record. It logs the progress, and returns an
// error when the process shuts down.
func (o *storeOpener) recordCallback() func(idempotency.LogEntry) error {
	records := 0
	lastLoggedAt := time.Now()
	return func(idempotency.LogEntry) error {
		records++
		if records%recordsPerCheck != 0 {
			return nil
		}
		select {
		case <-o.stop:
			return errLoadAborted
		default:
		}
		if time.Since(lastLoggedAt) >= loadProgressInterval {
			lastLoggedAt = time.Now()
			o.log.Info(storeMessage, "dir", o.config.Dir, "records_loaded", records)
		}
		return nil
	}
}

// onOpened starts using the store that was opened, or records that it could not be opened.
func (g *idempotencyGuard) onOpened(loaded loadedStore, err error, loadStartedAt time.Duration) {
	b := g.backend
	dir := b.cfg.Idempotency.Dir
	g.lock = loaded.lock
	if err != nil {
		g.storeFailed = true
		b.log.Error(storeMessage, "dir", dir, "reason", err, "consequence", "guarded requests are rejected until a restart")
		return
	}
	if loaded.quarantined {
		b.log.Error(storeMessage, "dir", dir, "reason", "earlier processes died while loading the store",
			"consequence", "its records are quarantined and count as lost until the retry horizon has passed")
		loaded.store.MarkOutdated(g.now())
	}
	for _, damage := range loaded.contents.Damage {
		b.log.Error(storeMessage, "dir", dir, "damage", damage)
	}
	g.store = loaded.store
	g.log = wal.NewLog(loaded.log, b.cfg.Idempotency.CommitInterval, maxWaitingRecords, func(seq uint64, err error) {
		b.loop.Post(func() { g.onDurable(seq, err) })
	})
	if b.cluster.enabled() {
		b.cluster.startRecovery(g.store, &loaded)
	}
	g.flushEntries()
	g.stats.LoadingMS = (b.now - loadStartedAt).Milliseconds()
	stats := g.store.Stats()
	b.log.Info(storeMessage, "dir", dir,
		"incarnation", stats.Incarnation,
		"keys", stats.Keys,
		"outcome_unknown", stats.OutcomeUnknown,
		"fingerprints", stats.Fingerprints,
		"segments", stats.Segments,
		"torn_bytes", loaded.contents.TornBytes,
		"history_lost", stats.LostBefore > 0,
		"took", b.now-loadStartedAt)
}

// onDurable handles the log's report that all records up to seq are durable, or that the disk has failed.
func (g *idempotencyGuard) onDurable(seq uint64, err error) {
	node := g.backend.cluster.node // nil without a cluster
	if err != nil {
		g.storeFailed = true
		g.backend.log.Error(storeMessage, "dir", g.backend.cfg.Idempotency.Dir, "reason", err,
			"consequence", "new guarded requests are rejected until a restart; repeats of recorded ones are answered")
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

// flushEntries passes the records that the store wrote in this turn to the log.
func (g *idempotencyGuard) flushEntries() {
	if g.log != nil {
		g.log.Append(g.store.TakeEntries())
	}
}

// sweep removes expired entries from the store.
func (g *idempotencyGuard) sweep() {
	if g.store != nil {
		g.store.Sweep(g.now())
	}
}

// close closes the log and releases the lock. All responses have been sent by then; only records of failures and of
// expired entries may still wait.
func (g *idempotencyGuard) close() {
	if !g.enabled() {
		return
	}
	close(g.stopLoading)
	if g.log != nil {
		g.flushEntries()
		if err := g.log.Close(closeTimeout); err != nil {
			g.backend.log.Error(storeMessage, "dir", g.backend.cfg.Idempotency.Dir, "reason", err)
			return // the end of the process releases the lock
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
