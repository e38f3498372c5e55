package backend

import (
	"context"
	"time"
)

const (
	sweepInterval = 100 * time.Millisecond // between two sweeps for idle and expired items

	// Shares of the memory limit.
	unsentShare = 0.2   // for responses that clients have not read
	unreadShare = 0.125 // for received input that is not handled yet, over all connections

	// lingerShare is the part of the connection limit for connections that linger: this node has closed its side, and
	// waits for the peer to close.
	lingerShare = 0.0625
)

// Serve runs the backend until ctx is done and every request that was read is answered, or until the process is about
// to be killed. It returns an error if it can't open its listeners, its ledger or its reports to the control plane. It
// must be called at most once.
func (b *Backend) Serve(ctx context.Context) error {
	defer close(b.done)
	b.setLoopLimits()
	if ctx.Err() != nil { // shut down before any request could be read
		return nil
	}
	if err := b.openLedger(); err != nil {
		return err
	}
	defer b.closeListeners()
	b.guard.open()
	defer b.guard.close()
	if err := b.listenAll(ctx); err != nil {
		return err
	}
	if err := b.reporter.open(b.cfg.ControlPlane); err != nil {
		return err
	}
	defer b.reporter.close()
	b.log.Info("serving", "name", b.cfg.Name, "listen", b.cfg.Listen)
	b.run(ctx)
	b.log.Info("shutdown complete", "counters", b.counters())
	return nil
}

// setLoopLimits sets the limits on buffered bytes and on lingering connections.
func (b *Backend) setLoopLimits() {
	if b.cfg.Limits.MemoryMB > 0 {
		b.loop.MaxUnsent = int(b.memoryShare(unsentShare))
		b.loop.MaxUndelivered = int64(b.memoryShare(unreadShare))
	}
	b.loop.MaxLingering = max(1, int(lingerShare*float64(b.frontend.connectionLimit())))
}

// run is the loop of the owner goroutine. It waits for input, for its timer, for the shutdown notice or for a call from
// another goroutine, and then executes a turn. It returns when the process may exit.
func (b *Backend) run(ctx context.Context) {
	shutdownNotice := ctx.Done()
	timer := time.NewTimer(0)
	for {
		select {
		case <-b.loop.Wake:
		case <-timer.C:
		case <-shutdownNotice:
			shutdownNotice = nil
			b.readClocks()
			b.startDrain()
		case f := <-b.ownerCalls:
			f()
		}
		if b.turn() {
			return
		}
		timer.Reset(b.untilWake())
	}
}

// turn handles all pending events, and reports whether it was the last turn. The order matters: input from connections is
// handled before timers, both before the controller's decisions, and the output is sent last.
func (b *Backend) turn() (last bool) {
	turnStart := b.readClocks()
	b.wakeAt = b.now + maxTurnInterval
	b.loop.Dispatch()
	b.processor.queryUnverified()
	b.onTimer()
	b.runController()
	for b.cluster.runPending() {
		b.runController()
	}
	b.cluster.sendBatches()
	b.guard.flushEntries()
	b.reporter.report(b)
	if b.advanceShutdown() {
		b.flush(turnStart)
		b.closeAccounts()
		return true
	}
	if retryAfter := b.flush(turnStart); retryAfter > 0 {
		b.wakeBy(b.now + retryAfter)
	}
	b.arrivalDelay.ExpectTurn(b.wakeAt)
	return false
}

// onTimer runs the due timers of each component, and sets the wake-up time of the owner for the others.
func (b *Backend) onTimer() {
	b.onControllerTimer()
	b.processor.onTimer()
	b.upstream.onTimer()
	b.guard.onTimer()
	b.cluster.onTimer()
	if b.now >= b.nextSweepAt {
		b.nextSweepAt = b.now + sweepInterval
		b.frontend.sweep()
		b.results.sweep()
		b.guard.sweep()
		b.auditLedger()
	}
	b.wakeBy(b.nextSweepAt)
}
