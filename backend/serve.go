package backend

import (
	"context"
	"time"
)

const (
	sweepInterval = 100 * time.Millisecond // between two searches for what is idle or has expired

	// Shares of the memory limit.
	unsentShare = 0.2   // for answers that clients do not take
	unreadShare = 0.125 // for what was received and is not handled yet, over all connections

	// lingerShare is the share of the client connections that may linger: they were ended here, and wait for the peer's
	// close.
	lingerShare = 0.0625
)

// Serve runs the backend until ctx is done and every request that was read is answered, or until the process is about
// to be killed. It returns an error if it can't listen or can't keep its accounts. It must be called once.
func (b *Backend) Serve(ctx context.Context) error {
	defer close(b.done)
	b.setLoopLimits()
	if ctx.Err() != nil { // notified before anything could be read
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

// setLoopLimits bounds what the connections may hold.
func (b *Backend) setLoopLimits() {
	if b.cfg.Limits.MemoryMB > 0 {
		b.loop.MaxUnsent = int(b.memoryShare(unsentShare))
		b.loop.MaxUndelivered = int64(b.memoryShare(unreadShare))
	}
	b.loop.MaxLingering = max(1, int(lingerShare*float64(b.frontend.connectionLimit())))
}

// run is the owner's loop: it waits for news, for its one timer, for the notice to leave or for a call from another
// goroutine, and takes a turn. It returns when the process may exit.
func (b *Backend) run(ctx context.Context) {
	leave := ctx.Done()
	timer := time.NewTimer(0)
	for {
		select {
		case <-b.loop.Wake:
		case <-timer.C:
		case <-leave:
			leave = nil
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

// turn handles all that has happened, and reports whether it was the last turn. Its order matters: what the connections
// bring comes before what is due, all of that before the controller's decisions, and the results of those are sent last.
func (b *Backend) turn() (last bool) {
	at := b.readClocks()
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
		b.flush(at)
		b.closeAccounts()
		return true
	}
	if retryAfter := b.flush(at); retryAfter > 0 {
		b.wakeBy(b.now + retryAfter)
	}
	b.arrivalDelay.ExpectTurn(b.wakeAt)
	return false
}

// onTimer does what is due in each part, and has the owner wake for the rest.
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
