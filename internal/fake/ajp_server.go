package fake

import (
	"frosthub/internal/ajp"
	"net"
	"strconv"
	"sync"
	"time"
)

// Fault is what an AJP server does with a call.
type Fault uint8

// The faults.
const (
	NoFault           Fault = iota
	TenTimesSlower          // it takes ten times as long
	NeverResponds           // it runs the call and never answers
	ResetBefore             // the connection ends, nothing ran
	ResetAfter              // it runs the call, and the connection ends
	TruncatedResponse       // it runs the call, and the connection ends in the middle of the answer
	WrongLength             // it runs the call, and answers with a chunk longer than its packet
	Rejects                 // 503: it never ran
	Fails                   // 500
	NoPong                  // CPing is not answered, nor is anything else
)

// AJPServer is a stand-in for a server of the next tier. It counts how often each call ran.
type AJPServer struct {
	Work  time.Duration
	Fault func(id uint64) Fault // nil: none

	address string
	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	ran     map[uint64]int
	got     int
	pings   int
}

// NewAJPServer listens on loopback.
func NewAJPServer(work time.Duration) (*AJPServer, error) {
	s := &AJPServer{Work: work, conns: map[net.Conn]bool{}, ran: map[uint64]int{}}
	return s, s.open("127.0.0.1:0")
}

func (s *AJPServer) open(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.address = ln, ln.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// Address is where it listens, also while it is away.
func (s *AJPServer) Address() string { return s.address }

// Stop ends it, with all that is open; Return has it back at its address.
func (s *AJPServer) Stop() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Restart has it listen again.
func (s *AJPServer) Restart() error { return s.open(s.address) }

// SetFault has it behave so from now on.
func (s *AJPServer) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = func(uint64) Fault { return f }
}

// CallCounts gives how often each call ran; Got how many came, Pings how many CPings did.
func (s *AJPServer) CallCounts() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[uint64]int, len(s.ran))
	for id, n := range s.ran {
		out[id] = n
	}
	return out
}

// Received is how many calls came.
func (s *AJPServer) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got
}

// Pings is how many CPings came.
func (s *AJPServer) Pings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pings
}

func (s *AJPServer) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	p := ajp.NewServer(ajp.DefaultPacketSize)
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		good := true
		if p.Feed(buf[:n], func(m ajp.Message) { good = s.message(c, p, m) && good }) != nil || !good {
			return
		}
	}
}

// message answers one, and tells whether the connection goes on.
func (s *AJPServer) message(c net.Conn, p *ajp.Server, m ajp.Message) bool {
	var id uint64
	m.Headers.Each(func(name, value []byte) {
		if string(name) == "X-Request-Id" {
			id, _ = strconv.ParseUint(string(value), 16, 64)
		}
	})
	s.mu.Lock()
	fault := NoFault
	if s.Fault != nil {
		fault = s.Fault(id)
	}
	s.mu.Unlock()
	write := func(b []byte) bool { _, err := c.Write(b); return err == nil }
	switch m.Kind {
	case ajp.CPing:
		s.mu.Lock()
		s.pings++
		s.mu.Unlock()
		return fault == NoPong || write(ajp.AppendCPong(nil))
	case ajp.NeedBodyChunk:
		return write(ajp.AppendGetBodyChunk(nil, ajp.DefaultPacketSize))
	case ajp.Request:
	default:
		return false
	}
	s.mu.Lock()
	s.got++
	runs := fault != ResetBefore && fault != Rejects && fault != NoPong
	if runs {
		s.ran[id]++
	}
	s.mu.Unlock()
	work := s.Work
	if fault == TenTimesSlower {
		work *= 10
	}
	if runs {
		time.Sleep(work)
	}
	body := []byte("reply to " + string(m.Body))
	answer := ajp.AppendHeaders(nil, 200, "OK", nil)
	p.Done()
	switch fault {
	case NeverResponds, NoPong:
		return true
	case ResetBefore, ResetAfter:
		return false
	case TruncatedResponse:
		write(answer)
		return false
	case WrongLength:
		return write(append(answer, 'A', 'B', 0, 4, 3, 0, 99, 'x'))
	case Rejects:
		return write(ajp.AppendEnd(ajp.AppendHeaders(nil, 503, "No", nil), true))
	case Fails:
		return write(ajp.AppendEnd(ajp.AppendHeaders(nil, 500, "No", nil), true))
	}
	return write(ajp.AppendEnd(ajp.AppendResponseBody(answer, ajp.DefaultPacketSize, body), true))
}
