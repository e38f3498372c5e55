package backend

import (
	"net"
	"time"

	"frosthub/internal/control"
)

// Fifteen in the 3 s after which a silent backend leaves the list: datagrams are lost, and cost little.
const reportEvery = 200 * time.Millisecond

// lease reports to the control plane. It hears nothing back, so its silence changes nothing.
type lease struct {
	c    net.Conn
	next time.Duration
	said bool // ready
	buf  []byte
}

// open reports to that address from now on; one that can't be used changes nothing.
func (l *lease) open(address string) error {
	if address == "" {
		l.close()
		l.c = nil
		return nil
	}
	c, err := net.Dial("udp", address)
	if err != nil {
		return err
	}
	l.close()
	l.c, l.next = c, 0
	return nil
}

func (l *lease) close() {
	if l.c != nil {
		_ = l.c.Close()
	}
}

// report tells the control plane, in time and at once what has changed.
func (l *lease) report(b *Backend) {
	if l.c == nil {
		return
	}
	if ready := b.good && b.ctl != nil; b.now >= l.next || ready != l.said {
		l.next, l.said = b.now+reportEvery, ready
		l.buf = control.AppendLease(l.buf[:0], b.cfg.Name, ready)
		_, err := l.c.Write(l.buf)
		if err != nil { // the answer to an earlier one, to which nobody listened: this one was not sent
			_, err = l.c.Write(l.buf)
		}
		if err == nil {
			b.count.Reports++
		}
	}
	b.at(l.next)
}
