package backend

import (
	"encoding/binary"
	"os"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/internal/wal"
	"frosthub/overload"
)

// answerMargin is how long before a client's timeout its request is answered at the latest: the answer has to get
// there.
const answerMargin = 10 * time.Millisecond

// idempotencyGuard stands between the backend and the idempotency store, or the failover node of a cluster. It asks
// them before a guarded request is admitted and before it is started, and carries out their decisions. It decides
// nothing itself.
//
// Its methods are called by the goroutine that owns the backend.
type idempotencyGuard struct {
	backend        *Backend
	keyParts       [][]KeyPart        // by handler; nil: not guarded
	store          *idempotency.Store // nil until it is loaded
	log            *wal.Log
	lock           *os.File
	startedAt      time.Duration         // both clocks are read once, here
	startedAtWall  time.Duration         // so that a step of the wall clock changes nothing while the process runs
	storeFailed    bool                  // nothing can be guarded until a restart
	stopLoading    chan struct{}         // closed when the process ends
	loadingDone    chan struct{}         // closed when the loading is over
	awaitingResult map[*request]struct{} // their runs have ended, their answers wait for the disk
	stats          IdempotencyStats
}

// IdempotencyStats tells what the store has done for requests, and how it is.
type IdempotencyStats struct {
	Loading        bool              `json:"reading"`
	StoreFailed    bool              `json:"broken"` // nothing can be guarded until a restart
	Store          idempotency.Stats `json:"store"`
	Log            wal.LogStats      `json:"log"`
	Replayed       int64             `json:"repeated"`
	OutcomeUnknown int64             `json:"in_doubt"`
	Expired        int64             `json:"aged"`
	HistoryLost    int64             `json:"blind"`
	Rejected       int64             `json:"refused"`
	LoadingMS      int64             `json:"reading_ms"`
}

// init finds out which handlers are guarded, and returns the handlers' settings with those as deduplicated: the
// overload controller then lets their repeats join the original request, and has a run go on when its client is gone,
// as its answer is for whoever repeats it.
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
		handler := &handlers[i]
		parts := cfg.Handlers[handler.Name]
		g.keyParts = append(g.keyParts, parts)
		if parts != nil {
			handler.Idempotency = overload.Deduplicated
			handler.Window = 0
		}
	}
	return handlers
}

func (g *idempotencyGuard) enabled() bool { return g.keyParts != nil }

// now is the store's time of day, since 1970.
func (g *idempotencyGuard) now() time.Duration { return g.startedAtWall + g.backend.now - g.startedAt }

// admit reports whether a guarded request is to be submitted to the overload controller now. If not, it was answered
// because nothing of it can be run, or the cluster is asked first.
func (g *idempotencyGuard) admit(r *request) bool {
	b := g.backend
	r.guard.answerDeadline = b.now - r.arrival.QueueDelay + b.handlers[r.handler].clientTimeout - answerMargin
	if r.guard.replayable && (b.cluster.node == nil || g.storeFailed) {
		r.guard = nil
		b.results.checkRepeat(r)
		return true
	}
	if g.storeState() == storeReady && b.cluster.node != nil {
		b.cluster.claim(r)
		return false
	}
	decision := g.decide(r)
	switch decision {
	case idempotency.Fresh:
		return true
	case idempotency.Duplicate:
		g.linkToOriginal(r)
		return true
	}
	reason := accounting.StoreLoading
	if decision != undecided {
		reason = g.countDecision(decision)
	}
	b.frontend.respondWithoutResult(r, reason)
	b.finishAnswered(r)
	return false
}

// undecided is the decision as long as the store is being loaded, or the node of a cluster doesn't yet know what it
// has.
const undecided idempotency.Decision = 0

// decide returns the decision of the store about a request that no cluster is asked about.
func (g *idempotencyGuard) decide(r *request) idempotency.Decision {
	switch g.storeState() {
	case storeUnavailable:
		return idempotency.StoreFailed
	case storeReady:
		if g.backend.cluster.enabled() {
			return undecided
		}
		return g.store.Peek(g.now(), r.guard.createdAt, r.guard.key)
	case storeReadOnly:
		return g.store.Peek(g.now(), r.guard.createdAt, r.guard.key)
	}
	return undecided
}

// linkToOriginal tells the overload controller which request r repeats. If that is of an earlier incarnation, or has
// ended, the controller knows nothing of it: it gets an id that is made of the key.
func (g *idempotencyGuard) linkToOriginal(r *request) {
	r.originalID = g.store.OriginalRequest(r.guard.key)
	if r.originalID == 0 || g.backend.requests[r.originalID] == nil {
		r.originalID = binary.LittleEndian.Uint64(r.guard.key[:]) | 1
	}
	r.arrival.RepeatOf = r.originalID
}

// countDecision counts a decision that ends a request, and returns how the request is accounted for.
func (g *idempotencyGuard) countDecision(decision idempotency.Decision) accounting.Reason {
	switch decision {
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
	switch decision {
	case idempotency.StoreFull:
		return accounting.StoreFull
	case idempotency.Fresh:
		return accounting.RetryAllowed
	case failover.NoQuorum:
		return accounting.NoQuorum
	}
	return accounting.StoreFailed
}

// startGuarded has a request that the overload controller wants run wait until its intent is on disk.
func (g *idempotencyGuard) startGuarded(r *request) {
	b := g.backend
	if r.guard.replayable {
		b.cluster.node.MarkRunning(g.now(), r.guard.key, r.id)
		b.startRun(r)
		return
	}
	r.awaitIntent()
	if b.cluster.enabled() {
		b.cluster.node.Start(g.now(), r.guard.key, r.id, b.processor.lastNotice)
		return
	}
	g.reserve(r)
}

// join has a repeat wait for the outcome of the original request.
func (g *idempotencyGuard) join(r *request) {
	if g.backend.cluster.enabled() {
		r.joinOriginal()
		g.backend.cluster.node.Join(g.now(), r.guard.key, r.id)
		return
	}
	if g.store.Peek(g.now(), r.guard.createdAt, r.guard.key) != idempotency.Duplicate {
		// Since this request was submitted, the original was proved never to have run.
		g.applyOutcome(idempotency.Outcome{ID: r.id, Decision: idempotency.Fresh})
		return
	}
	r.joinOriginal()
	g.reserve(r)
}

// reserve has the store of a node alone reserve the key of r, and carries out its decision unless that follows later.
func (g *idempotencyGuard) reserve(r *request) {
	outcome := g.store.Reserve(g.now(), r.guard.createdAt, r.guard.key, g.backend.handlers[r.handler].name, r.id)
	if outcome.Decision != idempotency.Wait {
		g.applyOutcome(outcome)
	}
}

// requestWithdrawn implements requestObserver.
func (g *idempotencyGuard) requestWithdrawn(r *request) { g.withdraw(r) }

// requestEnded implements requestObserver. It does nothing: the end was reported to recordEnd before, since the answer
// may have to wait for it.
func (g *idempotencyGuard) requestEnded(*request, requestEnd) {}

// withdraw follows a request that no longer waits and never ran.
func (g *idempotencyGuard) withdraw(r *request) {
	cluster := &g.backend.cluster
	switch {
	case r.guard == nil || g.store == nil:
	case cluster.enabled():
		if cluster.node != nil {
			cluster.node.Release(g.now(), r.guard.key, r.id)
		}
	case r.state >= stateJoined:
		g.store.Withdraw(g.now(), r.guard.key, r.id)
	}
}

// IdempotencyStats returns the figures of the store, nil without one. It may be called from any goroutine while Serve
// runs and after it.
func (b *Backend) IdempotencyStats() *IdempotencyStats {
	if !b.guard.enabled() {
		return nil
	}
	var out IdempotencyStats
	b.runOnOwner(func() {
		g := &b.guard
		out = g.stats
		out.Loading = g.storeState() == storeLoading
		out.StoreFailed = g.storeFailed
		if g.store != nil {
			out.Store = g.store.Stats()
		}
		if g.log != nil {
			out.Log = g.log.Stats()
		}
	})
	return &out
}
