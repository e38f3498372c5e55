package backend

import (
	"frosthub/internal/control"
	"frosthub/internal/faultinject"
	"net"
	"time"
)

// Fifteen in the 3 s after which a silent backend leaves the list: datagrams are lost, and cost little.
const reportEvery = 200 * time.Millisecond

// controlReporter reports to the control plane. It hears nothing back, so its silence changes nothing.
type controlReporter struct {
	address string
	c       net.Conn // nil while the system gives none, or without a control plane
	next    time.Duration
	said    bool // ready
	buf     []byte
}

// open reports to that address from now on; one that can't be an address changes nothing.
func (l *controlReporter) open(address string) error {
	if address != "" {
		if _, err := net.ResolveUDPAddr("udp", address); err != nil {
			return err
		}
	}
	l.close()
	l.address, l.c, l.next = address, nil, 0
	return nil
}

func (l *controlReporter) close() {
	if l.c != nil {
		_ = l.c.Close()
	}
}

// report tells the control plane, in time and at once what has changed.
func (l *controlReporter) report(b *Backend) {
	if l.address == "" {
		return
	}
	if l.c == nil && b.now >= l.next {
		c, err := net.Dial("udp", l.address)
		if err != nil { // the system has none to give for a while
			b.logLimited("control plane not reached", "why", err)
			l.next = b.now + reportEvery
		} else {
			l.c = c
		}
	}
	if l.c == nil {
		b.wakeBy(l.next)
		return
	}
	if ready := b.healthy && b.controller != nil; b.now >= l.next || ready != l.said {
		l.next, l.said = b.now+reportEvery, ready
		l.buf = control.AppendReport(l.buf[:0], b.cfg.Name, ready)
		err := faultinject.Error(faultinject.Send)
		if err == nil {
			_, err = l.c.Write(l.buf)
		}
		if err != nil { // the answer to an earlier one, to which nobody listened: this one was not sent
			_, err = l.c.Write(l.buf)
		}
		if err == nil {
			b.stats.Reports++
		}
	}
	b.wakeBy(l.next)
}
