package fake

import "net"

// AcceptAll accepts connections until the listener is closed and calls serve for each in a separate goroutine.
func AcceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// ResetConn closes a TCP connection with a reset. Other connections and nil are ignored.
func ResetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}
