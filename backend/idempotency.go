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

// answerMargin is how long before a client's timeout its request is answered at the latest, so that the response can
// reach the client in time.
const answerMargin = 10 * time.Millisecond

// idempotencyGuard connects the backend with the idempotency store, or in a cluster with the failover node. It requests
// their decision before a guarded request is admitted and before its run starts, and carries the decision out. It makes
// no decisions of its own.
//
// Its methods are called by the goroutine that owns the backend.
type idempotencyGuard struct {
	backend        *Backend
	keyParts       [][]KeyPart        // by handler index; nil for a handler that is not guarded
	store          *idempotency.Store // nil until the store is loaded
	log            *wal.Log
	lock           *os.File
	startedAt      time.Duration         // monotonic time of the start
	startedAtWall  time.Duration         // wall-clock time of the start; later steps of the wall clock have no effect
	storeFailed    bool                  // no new request can be guarded until a restart
	stopLoading    chan struct{}         // closed when the process shuts down
	loadingDone    chan struct{}         // closed when loading has ended
	awaitingResult map[*request]struct{} // requests whose response waits for a durable result
	stats          IdempotencyStats
}

// IdempotencyStats holds the state of the idempotency store and counts of its decisions.
type IdempotencyStats struct {
	Loading        bool              `json:"reading"` // the store is being loaded
	StoreFailed    bool              `json:"broken"`  // no new request can be guarded until a restart
	Store          idempotency.Stats `json:"store"`
	Log            wal.LogStats      `json:"log"`
	Replayed       int64             `json:"repeated"` // requests that ended with the decision of this name, as in the next three fields
	OutcomeUnknown int64             `json:"in_doubt"`
	Expired        int64             `json:"aged"`
	HistoryLost    int64             `json:"blind"`
	Rejected       int64             `json:"refused"`    // requests that ended with another decision, except idempotency.OriginalFailed
	LoadingMS      int64             `json:"reading_ms"` // how long it took to load the store
}

// init determines which handlers are guarded, and returns the settings of all handlers with the guarded ones marked as
// deduplicated. The overload controller then joins repeats to the original request, and lets a run continue after its
// client is gone because a repeat may still need the result.
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

// enabled reports whether the backend has an idempotency store, loaded or not.
func (g *idempotencyGuard) enabled() bool { return g.keyParts != nil }

// now returns the time that the store uses, as the time since 1970.
func (g *idempotencyGuard) now() time.Duration { return g.startedAtWall + g.backend.now - g.startedAt }

// admit reports whether the caller must submit a guarded request to the overload controller now. If it returns false,
// either the request has been answered without a run, or it waits for the outcome of its claim in the cluster.
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

// undecided is the decision while the store is loading, or while the node has not yet started in its cluster.
const undecided idempotency.Decision = 0

// decide returns the decision on a request that is not claimed in a cluster.
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

// linkToOriginal sets the request that r repeats, for the overload controller. If the original belongs to an earlier
// incarnation or has ended, the controller has no state for it; r then gets an id that is derived from the key.
func (g *idempotencyGuard) linkToOriginal(r *request) {
	r.originalID = g.store.OriginalRequest(r.guard.key)
	if r.originalID == 0 || g.backend.requests[r.originalID] == nil {
		r.originalID = binary.LittleEndian.Uint64(r.guard.key[:]) | 1
	}
	r.arrival.RepeatOf = r.originalID
}

// countDecision counts a decision that ends a request, and returns the reason under which the request is accounted for.
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

// startGuarded starts a guarded request that the overload controller has decided to run. Unless the request may run
// twice, its run starts only when its intent is durable.
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

// join makes a repeat wait for the outcome of the original request.
func (g *idempotencyGuard) join(r *request) {
	if g.backend.cluster.enabled() {
		r.joinOriginal()
		g.backend.cluster.node.Join(g.now(), r.guard.key, r.id)
		return
	}
	if g.store.Peek(g.now(), r.guard.createdAt, r.guard.key) != idempotency.Duplicate {
		// After this request was submitted, the original was proved never to have run.
		g.applyOutcome(idempotency.Outcome{ID: r.id, Decision: idempotency.Fresh})
		return
	}
	r.joinOriginal()
	g.reserve(r)
}

// reserve reserves the key of r in the store of a node without a cluster. It carries the decision out at once unless
// the store returns Wait; the decision then follows when the record is durable.
func (g *idempotencyGuard) reserve(r *request) {
	outcome := g.store.Reserve(g.now(), r.guard.createdAt, r.guard.key, g.backend.handlers[r.handler].name, r.id)
	if outcome.Decision != idempotency.Wait {
		g.applyOutcome(outcome)
	}
}

// requestWithdrawn implements requestObserver.
func (g *idempotencyGuard) requestWithdrawn(r *request) { g.withdraw(r) }

// requestEnded implements requestObserver. It does nothing: recordEnd has recorded the end before, because the response
// may have to wait for the record to become durable.
func (g *idempotencyGuard) requestEnded(*request, requestEnd) {}

// withdraw releases the key of a request that no longer waits and never ran.
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

// IdempotencyStats returns the statistics of the store, or nil if the backend has none. It may be called from any
// goroutine while Serve runs and after it has returned.
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
