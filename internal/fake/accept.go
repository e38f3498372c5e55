package fake

import "net"

// AcceptAll hands each connection of a listener to serve, in a goroutine of its own, until it is closed.
func AcceptAll(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// ResetConn closes a connection with a reset.
func ResetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
