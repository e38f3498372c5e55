package fake

import "net"

// AcceptAll accepts connections until the listener is closed and calls serve with each in a goroutine of its own.
func AcceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// ResetConn closes a TCP connection with a reset. It does nothing to any other connection, or none.
func ResetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
