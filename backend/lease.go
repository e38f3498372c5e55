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

func (l *lease) lookAtTime(b *Backend) {
	if l.c == nil {
		return
	}
	if b.now >= l.next {
		l.next = b.now + reportEvery
		l.buf = control.AppendLease(l.buf[:0], b.cfg.Name, b.good && b.ctl != nil)
		if _, err := l.c.Write(l.buf); err == nil {
			b.count.Reports++
		}
	}
	b.at(l.next)
}
