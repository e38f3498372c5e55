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
	answerBy      time.Duration     // it is answered by then, whatever the disk does
	askedAt       time.Duration     // when the store, or the group, was asked
	reason        accounting.Reason // of its answer, once its run has ended
	resultDurable bool              // its end was told to the store
	replayable    bool              // it may run again: only the boxes of the cluster know of it
}

// idempotencyGuard is the core's side of the store: it asks it before a guarded req is taken and before it is begun, and carries out what it
// says. All decisions are the store's.
type idempotencyGuard struct {
	backend       *Backend
	keyParts      [][]KeyPart        // by handler; nil: not guarded
	store         *idempotency.Store // nil until it is read
	log           *wal.Log
	lock          *os.File
	startedAt     time.Duration // the span at which the time of day was base
	startedAtWall time.Duration // both clocks are read once: a jump of one while the process runs changes nothing
	failed        bool          // for this life: nothing can be protected
	stopOpening   chan struct{}
	opening       chan struct{}         // closed when the reading is over
	awaitingDisk  map[*request]struct{} // their runs have ended, their answers wait for the disk
	stats         IdempotencyStats
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
func (g *idempotencyGuard) init(b *Backend) []overload.Handler {
	g.backend = b
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
		g.keyParts = append(g.keyParts, parts)
		if parts != nil {
			h.Idempotency = overload.Deduplicated
			h.Window = 0
		}
	}
	return handlers
}

func (g *idempotencyGuard) enabled() bool { return g.keyParts != nil }

// now is the time of day as the store has it.
func (g *idempotencyGuard) now() time.Duration { return g.startedAtWall + g.backend.now - g.startedAt }

// open has the store read, beside all else.
func (g *idempotencyGuard) open() {
	b := g.backend
	if !g.enabled() {
		return
	}
	for name := range b.cfg.Idempotency.Handlers {
		if b.handlerOf(name) < 0 {
			b.log.Warn("keep", "dir", b.cfg.Idempotency.Dir, "why", "no such handler", "handler", name)
		}
	}
	b.clock()
	g.startedAtWall, g.startedAt = b.wall, b.now
	g.awaitingDisk = map[*request]struct{}{}
	g.stopOpening, g.opening = make(chan struct{}), make(chan struct{})
	began := b.now
	var first *clusterRoster
	if b.cluster.enabled() {
		l := b.cfg.Cluster.wanted()
		first = &l
	}
	go func() {
		defer close(g.opening)
		o := openStore(b.cfg.Name, &b.cfg.Idempotency, first, g.startedAtWall, g.stopOpening, func(n int) {
			b.log.Info("keep", "dir", b.cfg.Idempotency.Dir, "reading", n)
		})
		b.loop.Post(func() { g.onOpened(o, began) })
	}()
}

// loadedStore is what opening a store brings.
type loadedStore struct {
	store      *idempotency.Store
	log        *wal.Writer
	lock       *os.File
	contents   wal.Contents
	setAside   bool          // its records are as lost
	roster     clusterRoster // of a box of a cluster, as what follows
	peerStates peerStateFile
	err        error
}

var errClosing = errors.New("the process ends")

// openStore reads a store; it is given up when closing is closed. first are the lists that a box of a cluster begins with, nil for one alone.
func openStore(box string, cfg *IdempotencyConfig, first *clusterRoster, now time.Duration, closing chan struct{}, told func(records int)) (o loadedStore) {
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
		if o.roster, o.err = readRoster(cfg.Dir, *first); o.err != nil {
			return o
		}
		if o.peerStates, o.err = readPeerStates(cfg.Dir); o.err != nil {
			return o
		}
	}
	if o.setAside, o.err = wal.BeginRead(disk); o.err != nil {
		return o
	}
	defer func() {
		if err := wal.EndRead(disk); o.err == nil {
			o.err = err
		}
	}()
	o.store = idempotency.New(cfg.Store)
	n, last := 0, time.Now()
	o.log, o.contents, o.err = wal.Open(disk, box, o.store, now, func(idempotency.LogEntry) error {
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

func (g *idempotencyGuard) onOpened(o loadedStore, began time.Duration) {
	b, dir := g.backend, g.backend.cfg.Idempotency.Dir
	g.lock = o.lock
	if o.err != nil {
		g.failed = true
		b.log.Error("keep", "dir", dir, "why", o.err, "so", "guarded reqs are refused in this life")
		return
	}
	if o.setAside {
		b.log.Error("keep", "dir", dir, "why", "starts died over it", "so", "its records are put aside; what ran is not known until the horizon has passed")
		o.store.MarkOutdated(g.now())
	}
	for _, what := range o.contents.Damage {
		b.log.Error("keep", "dir", dir, "damage", what)
	}
	g.store = o.store
	g.log = wal.NewLog(o.log, b.cfg.Idempotency.CommitInterval, gatherEnough, func(seq uint64, err error) {
		b.loop.Post(func() { g.onDurable(seq, err) })
	})
	if b.cluster.enabled() {
		b.cluster.startRecovery(g.store, o)
	}
	g.flushEntries()
	s := g.store.Stats()
	g.stats.LoadingMS = (b.now - began).Milliseconds()
	b.log.Info("keep", "dir", dir, "life", s.Incarnation, "keys", s.Keys, "in_doubt", s.OutcomeUnknown, "prints", s.Fingerprints, "segments", s.Segments,
		"cut", o.contents.TornBytes, "blind", s.LostBefore > 0, "took", b.now-began)
}

// onDurable follows the disk's word.
func (g *idempotencyGuard) onDurable(seq uint64, err error) {
	box := g.backend.cluster.node // nil for a box alone
	if err != nil {
		g.failed = true
		g.backend.log.Error("keep", "dir", g.backend.cfg.Idempotency.Dir, "why", err, "so", "guarded reqs are refused in this life, but for repeats")
	}
	switch {
	case err == nil && box != nil:
		box.MarkDurable(g.now(), seq)
	case err == nil:
		g.applyOutcomes(g.store.MarkDurable(seq))
	case box != nil:
		box.DiskFailed(g.now())
	default:
		g.applyOutcomes(g.store.DiskFailed())
	}
}

// hasRequiredKey tells whether a req has what its key needs.
func (g *idempotencyGuard) hasRequiredKey(a *parsedRequest) bool {
	return !g.enabled() || len(a.key) > 0 || !slices.Contains(g.keyParts[a.r.handler], KeyPartField)
}

// stateOf gives what a req has that must not run twice, nil if it may.
func (g *idempotencyGuard) stateOf(a *parsedRequest) *guardState {
	if !g.enabled() {
		return nil
	}
	parts, replay := g.keyParts[a.r.handler], false
	if parts == nil && g.backend.cluster.enabled() {
		parts, replay = g.backend.cluster.keyParts[a.r.handler], true
	}
	if parts == nil || len(a.key) == 0 && slices.Contains(parts, KeyPartField) {
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
	put(0, []byte(g.backend.handlers[a.r.handler].name))
	for _, part := range parts {
		switch part {
		case KeyPartID:
			put(part, []byte(a.r.wireID))
		case KeyPartCustomer:
			put(part, a.owner)
		case KeyPartField:
			put(part, a.key)
		case KeyPartBody:
			put(part, a.r.body)
		}
	}
	return &guardState{key: idempotency.Key(h.Sum(nil)), createdAt: time.Duration(a.made * float64(time.Millisecond)), replayable: replay}
}

// admit lets a guarded req go to the module, or answers it at once where that has nothing to decide: nothing can be run of it.
func (g *idempotencyGuard) admit(r *request) bool {
	b := g.backend
	r.guard.answerBy = b.now - r.arrival.Delay + b.handlers[r.handler].timeout - answerBefore
	var verdict idempotency.Decision
	switch {
	case r.guard.replayable && (b.cluster.node == nil || g.failed):
		r.guard = nil
		b.results.lookup(r)
		return true
	case g.store != nil && !g.failed && b.cluster.node != nil:
		b.cluster.claim(r)
		return false
	case g.store != nil && !g.failed && b.cluster.enabled(): // it is not yet sure of what it has
	case g.store != nil:
		verdict = g.store.Peek(g.now(), r.guard.createdAt, r.guard.key)
	case g.failed:
		verdict = idempotency.StoreFailed
	}
	switch verdict {
	case idempotency.Fresh:
		return true
	case idempotency.Duplicate:
		if r.originalID = g.store.Original(r.guard.key); r.originalID == 0 || b.requests[r.originalID] == nil {
			r.originalID = binary.LittleEndian.Uint64(r.guard.key[:]) | 1 // of an earlier life, or ended: the module knows nothing of it
		}
		r.arrival.RepeatOf = r.originalID
		return true
	}
	why := accounting.StoreLoading
	if verdict != 0 {
		why = g.countDecision(verdict)
	}
	b.frontend.declined(r, why)
	b.finishAnswered(r)
	return false
}

// countDecision says how a verdict that ends a req is accounted for, and counts it.
func (g *idempotencyGuard) countDecision(v idempotency.Decision) accounting.Reason {
	switch v {
	case idempotency.Replay:
		g.stats.Replayed++
		return accounting.Replayed
	case idempotency.OriginalFailed:
		return accounting.OriginalFailed
	case idempotency.OutcomeUnknown:
		g.stats.OutcomeUnknown++
		return accounting.OutcomeUnknown
	case idempotency.ResultExpired:
		g.stats.Expired++
		return accounting.ResultExpired
	case idempotency.HistoryLost:
		g.stats.HistoryLost++
		return accounting.HistoryLost
	}
	g.stats.Rejected++
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
func (g *idempotencyGuard) requestStart(r *request) {
	if r.guard.replayable {
		g.backend.cluster.node.MarkRunning(g.now(), r.guard.key, r.id)
		g.backend.startRun(r)
		return
	}
	r.state = stateAwaitingIntent
	if g.backend.cluster.enabled() {
		g.backend.cluster.node.Start(g.now(), r.guard.key, r.id, g.backend.processor.lastNotice)
		return
	}
	if o := g.store.Reserve(g.now(), r.guard.createdAt, r.guard.key, g.backend.handlers[r.handler].name, r.id); o.Decision != idempotency.Wait {
		g.applyOutcome(o)
	}
}

// join has a repeat meet its forerunner.
func (g *idempotencyGuard) join(r *request) {
	if g.backend.cluster.enabled() {
		r.state = stateJoined
		g.backend.cluster.node.Join(g.now(), r.guard.key, r.id)
		return
	}
	if g.store.Peek(g.now(), r.guard.createdAt, r.guard.key) != idempotency.Duplicate { // proved never to have run since the module was told
		g.applyOutcome(idempotency.Outcome{ID: r.id, Decision: idempotency.Fresh})
		return
	}
	r.state = stateJoined
	if o := g.store.Reserve(g.now(), r.guard.createdAt, r.guard.key, g.backend.handlers[r.handler].name, r.id); o.Decision != idempotency.Wait {
		g.applyOutcome(o)
	}
}

// withdraw follows a req that no longer waits and never ran.
func (g *idempotencyGuard) withdraw(r *request) {
	switch {
	case r.guard == nil || g.store == nil || g.backend.cluster.enabled() && g.backend.cluster.node == nil:
	case g.backend.cluster.enabled():
		g.backend.cluster.node.Release(g.now(), r.guard.key, r.id)
	case r.state >= stateJoined:
		g.store.Withdraw(g.now(), r.guard.key, r.id)
	}
}

func (g *idempotencyGuard) applyOutcomes(all []idempotency.Outcome) {
	for _, o := range all {
		g.applyOutcome(o)
	}
}

// applyOutcome carries out what the store says of a req.
func (g *idempotencyGuard) applyOutcome(o idempotency.Outcome) {
	b := g.backend
	r := b.requests[o.ID]
	if r == nil || r.guard == nil || r.guard.resultDurable && r.state != stateAwaitingResult {
		invariant.Check(o.Decision != idempotency.Start, "what is to be begun is there")
		return
	}
	delete(g.awaitingDisk, r)
	switch o.Decision {
	case idempotency.Start:
		if !b.isWanted(r) || r.state != stateAwaitingIntent { // nobody waits and it never ran, or the module has it joined
			why := accounting.NeverRan
			if r.state == stateJoined {
				why = accounting.RetryAllowed
			}
			r.guard.resultDurable = true
			others := g.store.Finish(g.now(), r.guard.key, idempotency.EntryNeverRan, nil)
			b.runEnded(r, overload.NeverRan, why, 0, nil)
			g.applyOutcomes(others)
			return
		}
		b.startRun(r)
	case idempotency.Completed:
		b.cluster.closeAccount(r, r.guard.reason)
		delete(b.requests, r.id)
		if b.hasClient(r) {
			b.frontend.succeeded(r, r.guard.reason, o.Result)
			b.unanswered--
			r.client = nil
		}
	case idempotency.Replay:
		r.guard.resultDurable = true
		b.runEnded(r, overload.OK, g.countDecision(o.Decision), 0, o.Result)
	default:
		r.guard.resultDurable = true
		how := overload.Failed
		why := g.countDecision(o.Decision)
		if why.Category() == accounting.Rejected {
			how = overload.NeverRan
		}
		b.runEnded(r, how, why, 0, nil)
	}
}

// recordEnd follows the end of a guarded req, and tells whether its answer has to wait for the disk.
func (g *idempotencyGuard) recordEnd(r *request, how overload.Outcome, why accounting.Reason, body []byte) bool {
	state := r.guard
	if state.replayable {
		switch {
		case state.resultDurable:
		case r.state < stateRunning:
			g.withdraw(r)
		default:
			state.resultDurable = true
			kind := idempotency.EntryNeverRan
			if how == overload.OK {
				kind = idempotency.EntryResult
			}
			g.backend.cluster.node.Finish(g.now(), state.key, r.id, kind, body)
		}
		return false
	}
	if state.resultDurable || r.state < stateAwaitingIntent { // joined ones and held ones have no run of their own
		if r.state == stateJoined && !state.resultDurable {
			g.withdraw(r)
		}
		return false
	}
	state.resultDurable = true
	if r.state == stateAwaitingIntent {
		g.withdraw(r)
		return false
	}
	kind := map[overload.Outcome]idempotency.EntryKind{overload.OK: idempotency.EntryResult, overload.NeverRan: idempotency.EntryNeverRan}[how]
	if kind == 0 {
		kind = idempotency.EntryFailed
	}
	if kind == idempotency.EntryResult {
		state.reason, r.state = why, stateAwaitingResult
		g.awaitingDisk[r] = struct{}{}
	}
	if g.backend.cluster.enabled() {
		g.backend.cluster.node.Finish(g.now(), state.key, r.id, kind, body)
	} else {
		g.applyOutcomes(g.store.Finish(g.now(), state.key, kind, body))
	}
	return kind == idempotency.EntryResult
}

// onTimer answers what waits for the disk and can wait no longer. Its result is kept all the same once the disk has it.
func (g *idempotencyGuard) onTimer() {
	b := g.backend
	for r := range g.awaitingDisk {
		due := r.guard.answerBy
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
		if delete(g.awaitingDisk, r); b.cluster.enabled() { // too few of its group may ever answer
			b.cluster.closeAccount(r, accounting.ResultNotDurable)
			delete(b.requests, r.id)
		}
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

// close has the log end: all answers have left, what waits is records of failures and ages.
func (g *idempotencyGuard) close() {
	if !g.enabled() {
		return
	}
	close(g.stopOpening)
	if g.log != nil {
		g.flushEntries()
		if err := g.log.Close(patientEnd); err != nil {
			g.backend.log.Error("keep", "dir", g.backend.cfg.Idempotency.Dir, "why", err)
			return // the lock goes with the process
		}
	} else {
		select {
		case <-g.opening:
		case <-time.After(patientEnd):
			return
		}
	}
	if g.lock != nil {
		_ = g.lock.Close()
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
		out.Loading, out.StoreFailed = k.store == nil && !k.failed, k.failed
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
