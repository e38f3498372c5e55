package backend

import (
	"net"
	"time"

	"frosthub/internal/control"
	"frosthub/internal/faultinject"
)

// reportInterval is the interval between reports to the control plane. The control plane drops a backend that was
// silent for 3 s, which takes the loss of 15 datagrams in a row. Sending one costs little.
const reportInterval = 200 * time.Millisecond

// controlReporter renews the lease of this backend at the control plane. It reads no replies, so a control plane that
// does not respond has no effect on the backend.
type controlReporter struct {
	address       string
	conn          net.Conn // nil without a control plane, or while no socket could be opened
	nextReportAt  time.Duration
	reportedReady bool // the state in the last report
	buf           []byte
}

// open directs reports to the given address from now on; an empty address stops them. If the address can't be resolved,
// open returns an error and changes nothing.
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

// report sends a report when one is due and when the readiness of the backend has changed.
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

// dial opens the socket. If that fails, for instance for lack of file descriptors, it is retried after reportInterval.
func (r *controlReporter) dial(b *Backend) {
	conn, err := net.Dial("udp", r.address)
	if err != nil {
		b.logLimited("control plane unreachable", "reason", err)
		r.nextReportAt = b.now + reportInterval
		return
	}
	r.conn = conn
}

// send sends one report. It retries a failed write once: the error may be an ICMP error that an earlier report caused
// because nothing was listening, in which case this report was not sent.
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
