package backend

import (
	"net"
	"time"

	"frosthub/internal/control"
	"frosthub/internal/faultinject"
)

// reportInterval is how often this backend reports to the control plane. It drops a backend that was silent for 3 s, so
// fifteen datagrams would have to be lost; each costs little.
const reportInterval = 200 * time.Millisecond

// controlReporter renews the lease of this backend at the control plane. It reads no replies, so a control plane that is
// silent changes nothing.
type controlReporter struct {
	address       string
	conn          net.Conn // nil without a control plane, and while the system gives no socket
	nextReportAt  time.Duration
	reportedReady bool // in the last report
	buf           []byte
}

// open sends reports to that address from now on. An error for what can't be an address changes nothing.
func (r *controlReporter) open(address string) error {
	if address != "" {
		if _, err := net.ResolveUDPAddr("udp", address); err != nil {
			return err
		}
	}
	r.close()
	r.address = address
	r.conn = nil
	r.nextReportAt = 0
	return nil
}

func (r *controlReporter) close() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// report reports whether this backend is ready, when that is due and as soon as it has changed.
func (r *controlReporter) report(b *Backend) {
	if r.address == "" {
		return
	}
	if r.conn == nil && b.now >= r.nextReportAt {
		r.dial(b)
	}
	if r.conn == nil {
		b.wakeBy(r.nextReportAt)
		return
	}
	ready := b.advice.healthy && b.controller != nil
	if b.now >= r.nextReportAt || ready != r.reportedReady {
		r.nextReportAt = b.now + reportInterval
		r.reportedReady = ready
		r.send(b)
	}
	b.wakeBy(r.nextReportAt)
}

// dial takes a socket. The system may have none to give for a while.
func (r *controlReporter) dial(b *Backend) {
	conn, err := net.Dial("udp", r.address)
	if err != nil {
		b.logLimited("control plane unreachable", "reason", err)
		r.nextReportAt = b.now + reportInterval
		return
	}
	r.conn = conn
}

// send sends one report. An error of the first write is the answer to an earlier report, to which nobody listened: this
// one was not sent then.
func (r *controlReporter) send(b *Backend) {
	r.buf = control.AppendReport(r.buf[:0], b.cfg.Name, r.reportedReady)
	err := faultinject.Error(faultinject.Send)
	if err == nil {
		_, err = r.conn.Write(r.buf)
	}
	if err != nil {
		_, err = r.conn.Write(r.buf)
	}
	if err == nil {
		b.stats.Reports++
	}
}
