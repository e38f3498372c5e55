package conn

import (
	"time"

	"frosthub/internal/faultinject"

	"github.com/cloudwego/netpoll"
)

// dialTimeout is far longer than a peer on the same machine or network needs to
// accept a connection.
const dialTimeout = 500 * time.Millisecond

// Dial connects to a TCP address in the background and then calls done on the
// owner's goroutine with a connection or an error, which is ErrDialTimeout if
// the peer neither accepted nor refused the connection in time. Any goroutine
// may call Dial.
func (l *Loop) Dial(address string, done func(*Conn, error)) {
	go func() {
		netConn, err := dial(address)
		if err != nil {
			l.Post(func() { done(nil, err) })
			return
		}
		c := l.newConn(netConn)
		_ = netConn.AddCloseCallback(c.onClose)
		l.Post(func() {
			done(c, nil)
			c.deliver() // reports a close that preceded the callbacks of the connection
		})
		_ = netConn.SetOnRequest(c.onReadable)
		if !netConn.IsActive() { // closed before netpoll had the callbacks
			_ = netConn.Close()
		}
	}()
}

func dial(address string) (netpoll.Connection, error) {
	start := time.Now()
	netConn, err := dialWithFaults(address)
	if err != nil && time.Since(start) >= dialTimeout {
		return nil, ErrDialTimeout
	}
	return netConn, err
}

// dialWithFaults dials the address, unless a test injects a fault.
func dialWithFaults(address string) (netpoll.Connection, error) {
	if err := faultinject.Error(faultinject.Connect); err != nil {
		return nil, err
	}
	return netpoll.DialConnection("tcp", address, dialTimeout)
}
