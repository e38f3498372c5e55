package backend

import (
	"net"
	"time"

	"frosthub/internal/control"
)

const reportEvery = 600 * time.Millisecond // five in the 3 s after which a silent backend leaves the list

// lease reports to the control plane. It hears nothing back, so its silence changes nothing.
type lease struct {
	c    net.Conn
	next time.Duration
	said bool // ready
	buf  []byte
}

func (l *lease) open(b *Backend) error {
	if b.cfg.Control == "" {
		return nil
	}
	c, err := net.Dial("udp", b.cfg.Control)
	l.c = c
	return err
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
		if _, err := l.c.Write(l.buf); err == nil {
			b.count.Reports++
		}
	}
	b.at(l.next)
}
