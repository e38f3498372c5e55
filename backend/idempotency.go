package backend

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"frosthub/accounting"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/filelock"
	"frosthub/internal/invariant"
	"frosthub/internal/wal"
	"frosthub/lifecycle"
	"frosthub/overload"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// KeyPart is one thing that goes into the key of a guarded req. Its number goes there too.
type KeyPart uint8

// The parts.
const (
	KeyPartID       KeyPart = 1 // as it came: a further try under another id is another req
	KeyPartCustomer KeyPart = 2
	KeyPartField    KeyPart = 3 // Keep.KeyField, which must be there
	KeyPartBody     KeyPart = 4
)

// IdempotencyConfig says what must not run twice, also over restarts. The zero value keeps nothing.
type IdempotencyConfig struct {
	Dir            string               // of the store; empty: none
	Handlers       map[string][]KeyPart // the guarded ones, and what their keys are made of
	KeyField       string               // the header for PartField
	CreatedField   string               // the header with the time at which a req was first made, in Unix milliseconds
	Store          idempotency.Config   // 0 as Defaults has it
	CommitInterval time.Duration        // from one commit to the next, unless many records wait; gatherUsual if 0

	Disk wal.Disk // in place of the folder, but for its lock: tests have disks that fail
}

const (
	entryBytes   = 200                   // of memory for a key with its result, without the result
	entryShare   = 0.1                   // of the memory limit, for all of these
	resultShare  = 0.08                  // and for the results
	memoryNone   = 512 << 20             // bytes taken for the limit where there is none
	lifetime     = time.Hour             // of a result
	horizon      = 24 * time.Hour        // of prints
	segmentsMost = 64                    // eight times what the keys with results fill
	segmentParts = 8                     // segments that keys with results fill
	resultMost   = 64 << 10              // bytes of a result
	gatherUsual  = 3 * time.Millisecond  // between commits: a quarter of a usual run
	gatherEnough = 64                    // records that are worth a commit at once
	patientEnd   = 50 * time.Millisecond // for the disk when the process ends: all answers have left
	answerBefore = 10 * time.Millisecond // of a client timeout: answers get out in their time
	progress     = time.Second           // between words on how far the reading is
	lookEach     = 4096                  // records read between looks at the clock
)

// SetDefaults fills in what the bounds leave open, for a box with so much memory.
func (k *IdempotencyConfig) SetDefaults(memoryMB float64) {
	memory := memoryMB * (1 << 20)
	if memory <= 0 {
		memory = memoryNone
	}
	c := &k.Store
	set := func(v *int, usual float64) {
		if *v == 0 {
			*v = int(usual)
		}
	}
	set(&c.MaxEntries, entryShare*memory/entryBytes)
	set(&c.MaxBytes, resultShare*memory)
	set(&c.MaxResultBytes, float64(min(resultMost, c.MaxBytes)))
	set(&c.MaxSegments, segmentsMost)
	set(&c.KeysPerSegment, max(16, float64(c.MaxEntries)/segmentParts))
	set(&c.SegmentBytes, max(4096, float64(c.MaxBytes+c.MaxEntries*64)/segmentParts))
	if c.ResultTTL == 0 {
		c.ResultTTL = min(lifetime, cmp.Or(c.RetryHorizon, horizon))
	}
	if c.RetryHorizon == 0 {
		c.RetryHorizon = max(horizon, c.ResultTTL)
	}
	if k.CommitInterval == 0 {
		k.CommitInterval = gatherUsual
	}
}

// guardState is what a req has that must not run twice.
type guardState struct {
	key           idempotency.Key
	createdAt     time.Duration     // since 1970; 0 not told
	due           time.Duration     // it is answered by then, whatever the disk does
	askedAt       time.Duration     // when the store, or the group, was asked
	reason        accounting.Reason // of its answer, once its run has ended
	resultDurable bool              // its end was told to the store
	replayable    bool              // it may run again: only the boxes of the cluster know of it
}

// idempotencyGuard is the core's side of the store: it asks it before a guarded req is taken and before it is begun, and carries out what it
// says. All decisions are the store's.
type idempotencyGuard struct {
	backend *Backend
	parts   [][]KeyPart        // by handler; nil: not guarded
	store   *idempotency.Store // nil until it is read
	log     *wal.Log
	lock    *os.File
	from    time.Duration // the span at which the time of day was base
	base    time.Duration // both clocks are read once: a jump of one while the process runs changes nothing
	broken  bool          // for this life: nothing can be protected
	closing chan struct{}
	gone    chan struct{}         // closed when the reading is over
	writing map[*request]struct{} // their runs have ended, their answers wait for the disk
	stats   IdempotencyStats
}

// IdempotencyStats tell what the store has done for reqs, and how it is.
type IdempotencyStats struct {
	Loading        bool              `json:"reading"`
	StoreFailed    bool              `json:"broken"` // nothing can be protected in this life
	Store          idempotency.Stats `json:"store"`
	Log            wal.LogStats      `json:"log"`
	Replayed       int64             `json:"repeated"`
	OutcomeUnknown int64             `json:"in_doubt"`
	Expired        int64             `json:"aged"`
	HistoryLost    int64             `json:"blind"`
	Rejected       int64             `json:"refused"`
	LoadingMS      int64             `json:"reading_ms"`
}

// init finds out what is guarded, and returns the handlers' settings with those handlers as deduplicated: the controller then lets
// their repeats join, and has a run go on when its caller is gone, as its answer is for whoever repeats it.
func (k *idempotencyGuard) init(b *Backend) []overload.Handler {
	k.backend = b
	cfg := &b.cfg.Idempotency
	handlers := b.cfg.Settings.Handlers
	if cfg.Dir == "" {
		return handlers
	}
	cfg.SetDefaults(b.cfg.Limits.MemoryMB)
	handlers = slices.Clone(handlers)
	for i := range handlers {
		h := &handlers[i]
		parts := cfg.Handlers[h.Name]
		k.parts = append(k.parts, parts)
		if parts != nil {
			h.Idempotency = overload.Deduplicated
			h.Window = 0
		}
	}
	return handlers
}

func (k *idempotencyGuard) enabled() bool { return k.parts != nil }

// now is the time of day as the store has it.
func (k *idempotencyGuard) now() time.Duration { return k.base + k.backend.now - k.from }

// open has the store read, beside all else.
func (k *idempotencyGuard) open() {
	b := k.backend
	if !k.enabled() {
		return
	}
	for name := range b.cfg.Idempotency.Handlers {
		if b.handlerOf(name) < 0 {
			b.log.Warn("keep", "dir", b.cfg.Idempotency.Dir, "why", "no such handler", "handler", name)
		}
	}
	b.readClocks()
	k.base, k.from = b.wall, b.now
	k.writing = map[*request]struct{}{}
	k.closing, k.gone = make(chan struct{}), make(chan struct{})
	began := b.now
	var first *lists
	if b.cluster.enabled() {
		l := b.cfg.Cluster.wanted()
		first = &l
	}
	go func() {
		defer close(k.gone)
		o := openStore(b.cfg.Name, &b.cfg.Idempotency, first, k.base, k.closing, func(n int) {
			b.log.Info("keep", "dir", b.cfg.Idempotency.Dir, "reading", n)
		})
		b.loop.Post(func() { k.opened(o, began) })
	}()
}

// loadedStore is what opening a store brings.
type loadedStore struct {
	store *idempotency.Store
	log   *wal.Writer
	lock  *os.File
	found wal.Contents
	aside bool  // its records are as lost
	lists lists // of a box of a cluster, as what follows
	known peerStateFile
	err   error
}

var errClosing = errors.New("the process ends")

// openStore reads a store; it is given up when closing is closed. first are the lists that a box of a cluster begins with, nil for one alone.
func openStore(box string, cfg *IdempotencyConfig, first *lists, now time.Duration, closing chan struct{}, told func(records int)) (o loadedStore) {
	disk := cfg.Disk
	if disk == nil {
		disk = wal.DirDisk(cfg.Dir)
	}
	if _, o.err = wal.Identify(disk); o.err != nil {
		return o
	}
	if o.lock, o.err = filelock.Acquire(filepath.Join(cfg.Dir, wal.LockName)); o.err != nil {
		return o
	}
	if first != nil {
		if o.lists, o.err = readLists(cfg.Dir, *first); o.err != nil {
			return o
		}
		if o.known, o.err = readMemory(cfg.Dir); o.err != nil {
			return o
		}
	}
	if o.aside, o.err = wal.BeginRead(disk); o.err != nil {
		return o
	}
	defer func() {
		if err := wal.EndRead(disk); o.err == nil {
			o.err = err
		}
	}()
	o.store = idempotency.New(cfg.Store)
	n, last := 0, time.Now()
	o.log, o.found, o.err = wal.Open(disk, box, o.store, now, func(idempotency.LogEntry) error {
		if n++; n%lookEach != 0 {
			return nil
		}
		select {
		case <-closing:
			return errClosing
		default:
		}
		if time.Since(last) >= progress {
			last = time.Now()
			told(n)
		}
		return nil
	})
	return o
}

func (k *idempotencyGuard) opened(o loadedStore, began time.Duration) {
	b, dir := k.backend, k.backend.cfg.Idempotency.Dir
	k.lock = o.lock
	if o.err != nil {
		k.broken = true
		b.log.Error("keep", "dir", dir, "why", o.err, "so", "guarded reqs are refused in this life")
		return
	}
	if o.aside {
		b.log.Error("keep", "dir", dir, "why", "starts died over it", "so", "its records are put aside; what ran is not known until the horizon has passed")
		o.store.MarkOutdated(k.now())
	}
	for _, what := range o.found.Damage {
		b.log.Error("keep", "dir", dir, "damage", what)
	}
	k.store = o.store
	k.log = wal.NewLog(o.log, b.cfg.Idempotency.CommitInterval, gatherEnough, func(seq uint64, err error) {
		b.loop.Post(func() { k.durable(seq, err) })
	})
	if b.cluster.enabled() {
		b.cluster.returns(k.store, o)
	}
	k.flushEntries()
	s := k.store.Stats()
	k.stats.LoadingMS = (b.now - began).Milliseconds()
	b.log.Info("keep", "dir", dir, "life", s.Incarnation, "keys", s.Keys, "in_doubt", s.OutcomeUnknown, "prints", s.Fingerprints, "segments", s.Segments,
		"cut", o.found.TornBytes, "blind", s.LostBefore > 0, "took", b.now-began)
}

// durable follows the disk's word.
func (k *idempotencyGuard) durable(seq uint64, err error) {
	box := k.backend.cluster.node // nil for a box alone
	if err != nil {
		k.broken = true
		k.backend.log.Error("keep", "dir", k.backend.cfg.Idempotency.Dir, "why", err, "so", "guarded reqs are refused in this life, but for repeats")
	}
	switch {
	case err == nil && box != nil:
		box.MarkDurable(k.now(), seq)
	case err == nil:
		k.heed(k.store.MarkDurable(seq))
	case box != nil:
		box.DiskFailed(k.now())
	default:
		k.heed(k.store.DiskFailed())
	}
}

// named tells whether a req has what its key needs.
func (k *idempotencyGuard) named(a *parsedRequest) bool {
	return !k.enabled() || len(a.guardKey) > 0 || !slices.Contains(k.parts[a.request.handler], KeyPartField)
}

// guards gives what a req has that must not run twice, nil if it may.
func (k *idempotencyGuard) guards(a *parsedRequest) *guardState {
	if !k.enabled() {
		return nil
	}
	parts, replay := k.parts[a.request.handler], false
	if parts == nil && k.backend.cluster.enabled() {
		parts, replay = k.backend.cluster.parts[a.request.handler], true
	}
	if parts == nil || len(a.guardKey) == 0 && slices.Contains(parts, KeyPartField) {
		return nil
	}
	h := sha256.New()
	put := func(part KeyPart, v []byte) {
		var head [9]byte
		head[0] = byte(part)
		binary.LittleEndian.PutUint64(head[1:], uint64(len(v)))
		_, _ = h.Write(head[:]) // never an error
		_, _ = h.Write(v)
	}
	put(0, []byte(k.backend.handlers[a.request.handler].name))
	for _, part := range parts {
		switch part {
		case KeyPartID:
			put(part, []byte(a.request.wireID))
		case KeyPartCustomer:
			put(part, a.customerID)
		case KeyPartField:
			put(part, a.guardKey)
		case KeyPartBody:
			put(part, a.request.body)
		}
	}
	return &guardState{key: idempotency.Key(h.Sum(nil)), createdAt: time.Duration(a.createdAt * float64(time.Millisecond)), replayable: replay}
}

// admit lets a guarded req go to the module, or answers it at once where that has nothing to decide: nothing can be run of it.
func (k *idempotencyGuard) admit(r *request) bool {
	b := k.backend
	r.guard.due = b.now - r.arrival.Delay + b.handlers[r.handler].timeout - answerBefore
	var verdict idempotency.Decision
	switch {
	case r.guard.replayable && (b.cluster.node == nil || k.broken):
		r.guard = nil
		b.results.lookup(r)
		return true
	case k.store != nil && !k.broken && b.cluster.node != nil:
		b.cluster.ask(r)
		return false
	case k.store != nil && !k.broken && b.cluster.enabled(): // it is not yet sure of what it has
	case k.store != nil:
		verdict = k.store.Peek(k.now(), r.guard.createdAt, r.guard.key)
	case k.broken:
		verdict = idempotency.StoreFailed
	}
	switch verdict {
	case idempotency.Fresh:
		return true
	case idempotency.Duplicate:
		if r.originalID = k.store.Original(r.guard.key); r.originalID == 0 || b.requests[r.originalID] == nil {
			r.originalID = binary.LittleEndian.Uint64(r.guard.key[:]) | 1 // of an earlier life, or ended: the module knows nothing of it
		}
		r.arrival.RepeatOf = r.originalID
		return true
	}
	why := accounting.StoreLoading
	if verdict != 0 {
		why = k.reason(verdict)
	}
	b.frontend.declined(r, why)
	b.finishAnswered(r)
	return false
}

// reason says how a verdict that ends a req is accounted for, and counts it.
func (k *idempotencyGuard) reason(v idempotency.Decision) accounting.Reason {
	switch v {
	case idempotency.Replay:
		k.stats.Replayed++
		return accounting.Replayed
	case idempotency.OriginalFailed:
		return accounting.OriginalFailed
	case idempotency.OutcomeUnknown:
		k.stats.OutcomeUnknown++
		return accounting.OutcomeUnknown
	case idempotency.ResultExpired:
		k.stats.Expired++
		return accounting.ResultExpired
	case idempotency.HistoryLost:
		k.stats.HistoryLost++
		return accounting.HistoryLost
	}
	k.stats.Rejected++
	switch v {
	case idempotency.StoreFull:
		return accounting.StoreFull
	case idempotency.Fresh:
		return accounting.RetryAllowed
	case failover.NoQuorum:
		return accounting.NoQuorum
	}
	return accounting.StoreFailed
}

// requestStart has a req that the module wants run wait for its intent.
func (k *idempotencyGuard) requestStart(r *request) {
	if r.guard.replayable {
		k.backend.cluster.node.MarkRunning(k.now(), r.guard.key, r.id)
		k.backend.startRun(r)
		return
	}
	r.state = stateAwaitingIntent
	if k.backend.cluster.enabled() {
		k.backend.cluster.node.Start(k.now(), r.guard.key, r.id, k.backend.processor.last)
		return
	}
	if o := k.store.Reserve(k.now(), r.guard.createdAt, r.guard.key, k.backend.handlers[r.handler].name, r.id); o.Decision != idempotency.Wait {
		k.outcome(o)
	}
}

// join has a repeat meet its forerunner.
func (k *idempotencyGuard) join(r *request) {
	if k.backend.cluster.enabled() {
		r.state = stateJoined
		k.backend.cluster.node.Join(k.now(), r.guard.key, r.id)
		return
	}
	if k.store.Peek(k.now(), r.guard.createdAt, r.guard.key) != idempotency.Duplicate { // proved never to have run since the module was told
		k.outcome(idempotency.Outcome{ID: r.id, Decision: idempotency.Fresh})
		return
	}
	r.state = stateJoined
	if o := k.store.Reserve(k.now(), r.guard.createdAt, r.guard.key, k.backend.handlers[r.handler].name, r.id); o.Decision != idempotency.Wait {
		k.outcome(o)
	}
}

// leave follows a req that no longer waits and never ran.
func (k *idempotencyGuard) leave(r *request) {
	switch {
	case r.guard == nil || k.store == nil || k.backend.cluster.enabled() && k.backend.cluster.node == nil:
	case k.backend.cluster.enabled():
		k.backend.cluster.node.Release(k.now(), r.guard.key, r.id)
	case r.state >= stateJoined:
		k.store.Withdraw(k.now(), r.guard.key, r.id)
	}
}

func (k *idempotencyGuard) heed(all []idempotency.Outcome) {
	for _, o := range all {
		k.outcome(o)
	}
}

// outcome carries out what the store says of a req.
func (k *idempotencyGuard) outcome(o idempotency.Outcome) {
	b := k.backend
	r := b.requests[o.ID]
	if r == nil || r.guard == nil || r.guard.resultDurable && r.state != stateAwaitingResult {
		invariant.Check(o.Decision != idempotency.Start, "what is to be begun is there")
		return
	}
	delete(k.writing, r)
	switch o.Decision {
	case idempotency.Start:
		if !b.isWanted(r) || r.state != stateAwaitingIntent { // nobody waits and it never ran, or the module has it joined
			why := accounting.NeverRan
			if r.state == stateJoined {
				why = accounting.RetryAllowed
			}
			r.guard.resultDurable = true
			others := k.store.Finish(k.now(), r.guard.key, idempotency.EntryNeverRan, nil)
			b.runEnded(r, overload.NeverRan, why, 0, nil)
			k.heed(others)
			return
		}
		b.startRun(r)
	case idempotency.Completed:
		b.cluster.settled(r, r.guard.reason)
		delete(b.requests, r.id)
		if b.hasClient(r) {
			b.frontend.succeeded(r, r.guard.reason, o.Result)
			b.unanswered--
			r.client = nil
		}
	case idempotency.Replay:
		r.guard.resultDurable = true
		b.runEnded(r, overload.OK, k.reason(o.Decision), 0, o.Result)
	default:
		r.guard.resultDurable = true
		how := overload.Failed
		why := k.reason(o.Decision)
		if why.Category() == accounting.Rejected {
			how = overload.NeverRan
		}
		b.runEnded(r, how, why, 0, nil)
	}
}

// writes follows the end of a guarded req, and tells whether its answer has to wait for the disk.
func (k *idempotencyGuard) writes(r *request, how overload.Outcome, why accounting.Reason, body []byte) bool {
	g := r.guard
	if g.replayable {
		switch {
		case g.resultDurable:
		case r.state < stateRunning:
			k.leave(r)
		default:
			g.resultDurable = true
			kind := idempotency.EntryNeverRan
			if how == overload.OK {
				kind = idempotency.EntryResult
			}
			k.backend.cluster.node.Finish(k.now(), g.key, r.id, kind, body)
		}
		return false
	}
	if g.resultDurable || r.state < stateAwaitingIntent { // joined ones and held ones have no run of their own
		if r.state == stateJoined && !g.resultDurable {
			k.leave(r)
		}
		return false
	}
	g.resultDurable = true
	if r.state == stateAwaitingIntent {
		k.leave(r)
		return false
	}
	kind := map[overload.Outcome]idempotency.EntryKind{overload.OK: idempotency.EntryResult, overload.NeverRan: idempotency.EntryNeverRan}[how]
	if kind == 0 {
		kind = idempotency.EntryFailed
	}
	if kind == idempotency.EntryResult {
		g.reason, r.state = why, stateAwaitingResult
		k.writing[r] = struct{}{}
	}
	if k.backend.cluster.enabled() {
		k.backend.cluster.node.Finish(k.now(), g.key, r.id, kind, body)
	} else {
		k.heed(k.store.Finish(k.now(), g.key, kind, body))
	}
	return kind == idempotency.EntryResult
}

// onTimer answers what waits for the disk and can wait no longer. Its result is kept all the same once the disk has it.
func (k *idempotencyGuard) onTimer() {
	b := k.backend
	for r := range k.writing {
		due := r.guard.due
		if b.process.Phase() > lifecycle.Serving {
			due = min(due, b.process.AnswerBy())
		}
		if b.now < due {
			b.wakeBy(due)
			continue
		}
		if b.hasClient(r) {
			b.frontend.failed(r, accounting.ResultNotDurable)
			b.finishAnswered(r)
		}
		if delete(k.writing, r); b.cluster.enabled() { // too few of its group may ever answer
			b.cluster.settled(r, accounting.ResultNotDurable)
			delete(b.requests, r.id)
		}
	}
}

// flushEntries gives the log what the store wrote in this turn.
func (k *idempotencyGuard) flushEntries() {
	if k.log != nil {
		k.log.Append(k.store.TakeEntries())
	}
}

func (k *idempotencyGuard) sweep() {
	if k.store != nil {
		k.store.Sweep(k.now())
	}
}

// close has the log end: all answers have left, what waits is records of failures and ages.
func (k *idempotencyGuard) close() {
	if !k.enabled() {
		return
	}
	close(k.closing)
	if k.log != nil {
		k.flushEntries()
		if err := k.log.Close(patientEnd); err != nil {
			k.backend.log.Error("keep", "dir", k.backend.cfg.Idempotency.Dir, "why", err)
			return // the lock goes with the process
		}
	} else {
		select {
		case <-k.gone:
		case <-time.After(patientEnd):
			return
		}
	}
	if k.lock != nil {
		_ = k.lock.Close()
	}
}

// IdempotencyStats gives those of the store, while Serve runs and after it; nil without one.
func (b *Backend) IdempotencyStats() *IdempotencyStats {
	if !b.guard.enabled() {
		return nil
	}
	var out IdempotencyStats
	b.onOwner(func() {
		k := &b.guard
		out = k.stats
		out.Loading, out.StoreFailed = k.store == nil && !k.broken, k.broken
		if k.store != nil {
			out.Store = k.store.Stats()
		}
		if k.log != nil {
			out.Log = k.log.Stats()
		}
	})
	return &out
}

// String is the part's word in the operator's file.
func (p KeyPart) String() string {
	return [...]string{KeyPartID: "id", KeyPartCustomer: "customer", KeyPartField: "field", KeyPartBody: "body"}[p]
}
