package fake

import (
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"frosthub/internal/ajp"
)

// Fault is a way in which an AJPServer fails a call.
type Fault uint8

// The faults.
const (
	NoFault           Fault = iota
	NeverResponds           // the call runs; no response
	ResetBefore             // the call does not run; the connection ends
	ResetAfter              // the call runs; the connection ends
	TruncatedResponse       // the call runs; the connection ends within the response
	WrongLength             // the call runs; the response has a chunk whose length exceeds its packet
	Rejects                 // the call does not run; status 503
	Fails                   // the call runs; status 500
	NoPong                  // the call does not run; there is no response to it or to CPing
)

// runs reports whether a call with the fault runs.
func (f Fault) runs() bool { return f != ResetBefore && f != Rejects && f != NoPong }

// AJPServer is a test double of an upstream AJP server. It counts the runs of each call. Its methods are safe for concurrent use.
type AJPServer struct {
	Work  time.Duration         // duration of each call
	Fault func(id uint64) Fault // returns the fault of a call; nil: none. Set it before the first connection, or use SetFault.

	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[uint64]int // by request ID
	received int
	pings    int
}

// NewAJPServer returns a server that listens on a loopback address.
func NewAJPServer(work time.Duration) (*AJPServer, error) {
	s := &AJPServer{Work: work, conns: map[net.Conn]bool{}, runs: map[uint64]int{}}
	return s, s.listen("127.0.0.1:0")
}

func (s *AJPServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.address = listener.Addr().String()
	s.mu.Unlock()
	go s.accept(listener)
	return nil
}

// accept serves connections until the listener is closed. It records each for Stop before it accepts the next.
func (s *AJPServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// Address returns the address of the server, which stays the same while it is stopped.
func (s *AJPServer) Address() string { return s.address }

// Stop closes the listener and all connections. The server can be restarted with Restart.
func (s *AJPServer) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Restart makes a stopped server listen on its address again.
func (s *AJPServer) Restart() error { return s.listen(s.address) }

// SetFault sets the fault of all subsequent calls.
func (s *AJPServer) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = func(uint64) Fault { return fault }
}

// CallCounts returns the number of runs of each call, by request ID.
func (s *AJPServer) CallCounts() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Received returns the number of calls received.
func (s *AJPServer) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Pings returns the number of CPings received.
func (s *AJPServer) Pings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pings
}

func (s *AJPServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	parser := ajp.NewServer(ajp.DefaultPacketSize)
	buf := make([]byte, 4<<10)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		keep := true
		err = parser.Feed(buf[:n], func(message ajp.Message) { keep = s.handle(conn, parser, message) && keep })
		if err != nil || !keep {
			return
		}
	}
}

// handle responds to one message and reports whether the connection stays open.
func (s *AJPServer) handle(conn net.Conn, parser *ajp.Server, message ajp.Message) bool {
	id := requestID(message)
	s.mu.Lock()
	fault := NoFault
	if s.Fault != nil {
		fault = s.Fault(id)
	}
	s.mu.Unlock()
	switch message.Kind {
	case ajp.CPing:
		s.mu.Lock()
		s.pings++
		s.mu.Unlock()
		return fault == NoPong || write(conn, ajp.AppendCPong(nil))
	case ajp.NeedBodyChunk:
		return write(conn, ajp.AppendGetBodyChunk(nil, ajp.DefaultPacketSize))
	case ajp.Request:
		s.runCall(id, fault)
		body := []byte("reply to " + string(message.Body))
		parser.Done()
		return respond(conn, fault, body)
	default:
		return false
	}
}

// requestID returns the request ID of a message, or 0 if it has none.
func requestID(message ajp.Message) (id uint64) {
	message.Headers.Each(func(name, value []byte) {
		if string(name) == "X-Request-Id" {
			id, _ = strconv.ParseUint(string(value), 16, 64)
		}
	})
	return id
}

// runCall counts a call and runs it unless the fault prevents the run.
func (s *AJPServer) runCall(id uint64, fault Fault) {
	s.mu.Lock()
	s.received++
	if fault.runs() {
		s.runs[id]++
	}
	s.mu.Unlock()
	if fault.runs() {
		time.Sleep(s.Work)
	}
}

// respond writes the response to a call and reports whether the connection stays open.
func respond(conn net.Conn, fault Fault, body []byte) bool {
	headers := ajp.AppendHeaders(nil, 200, "OK", nil)
	switch fault {
	case NeverResponds, NoPong:
		return true
	case ResetBefore, ResetAfter:
		return false
	case TruncatedResponse:
		write(conn, headers)
		return false
	case WrongLength:
		return write(conn, append(headers, 'A', 'B', 0, 4, 3, 0, 99, 'x'))
	case Rejects:
		return write(conn, ajp.AppendEnd(ajp.AppendHeaders(nil, 503, "No", nil), true))
	case Fails:
		return write(conn, ajp.AppendEnd(ajp.AppendHeaders(nil, 500, "No", nil), true))
	}
	return write(conn, ajp.AppendEnd(ajp.AppendResponseBody(headers, ajp.DefaultPacketSize, body), true))
}

// write writes packets and reports whether that succeeded.
func write(conn net.Conn, packets []byte) bool {
	_, err := conn.Write(packets)
	return err == nil
}
