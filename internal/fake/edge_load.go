package fake

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// redialPause is the delay before an edge node reconnects to a node that ended or refused a connection.
	redialPause = 2 * time.Millisecond
	// finalResponseTimeout limits how long an edge node waits for open requests after it has stopped sending.
	finalResponseTimeout = 3 * time.Second
	// maxSlot is the highest slot that an edge node uses on a connection.
	maxSlot = 1000
)

// EdgeLoad generates the load of an edge node over several multiplexed FastCGI connections.
type EdgeLoad struct {
	Address             string
	Conns               int           // number of connections; each is reopened when it ends
	Interval            time.Duration // mean time between requests of a connection
	Slots               int           // maximum of open requests on a connection
	Handlers            []string
	AbortShare          float64 // share of requests that are aborted after up to 2 ms
	CloseShare          float64 // share of requests after which the connection is half-closed while its requests are open
	UnknownHandlerShare float64 // share of requests that name a handler that does not exist
	CostMS              float64
	Body                string
	Callers             int // number of different edge node numbers in the requests; 1 if 0
}

// Run sends requests until the context is done, waits for the open ones, and returns when all connections have ended. It records the
// outcome of each request in the tally.
func (l EdgeLoad) Run(ctx context.Context, tally *Tally, seed uint64) {
	var conns sync.WaitGroup
	for i := range l.Conns {
		conns.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				if err := l.runConn(ctx, tally, random); err == nil {
					continue
				}
				select {
				case <-ctx.Done():
				case <-time.After(redialPause):
				}
			}
		})
	}
	conns.Wait()
}

// runConn sends requests on one connection until it ends. It returns an error if the node ended or refused the connection.
func (l EdgeLoad) runConn(ctx context.Context, tally *Tally, random *rand.Rand) error {
	conn, err := net.Dial("tcp", l.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	c := newEdgeConn(conn, tally, l.Body)
	go c.readResponses()
	for slot := uint16(1); ; slot = slot%maxSlot + 1 {
		select {
		case <-ctx.Done():
			_ = conn.SetReadDeadline(time.Now().Add(finalResponseTimeout))
			c.waitForResponses()
			c.closeAndWait()
			return nil
		case <-c.ended:
			return io.EOF
		case <-time.After(time.Duration(random.ExpFloat64() * float64(l.Interval))):
		}
		if c.full(slot, l.Slots) {
			continue
		}
		request := l.draw(random)
		if err := c.send(slot, &request); err != nil {
			<-c.ended
			return err
		}
		switch action := random.Float64(); {
		case action < l.AbortShare:
			time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
			_, _ = io.WriteString(conn, FastCGIAbort(slot))
		case action < l.AbortShare+l.CloseShare:
			c.closeAndWait()
			return nil
		}
	}
}

// draw returns a random request.
func (l EdgeLoad) draw(random *rand.Rand) Request {
	request := Request{
		ID:      random.Uint64() | 1,
		Handler: l.Handlers[random.IntN(len(l.Handlers))],
		Caller:  random.IntN(max(1, l.Callers)),
		Start:   time.Now().UnixMilli(),
		CostMS:  l.CostMS,
		Body:    l.Body,
	}
	if random.Float64() < l.UnknownHandlerShare {
		request.Handler = "none-such"
	}
	return request
}

// edgeConn is one connection of an EdgeLoad. One goroutine sends requests while another reads responses.
type edgeConn struct {
	conn  net.Conn
	tally *Tally
	body  string
	ended chan struct{} // closed when the connection has ended

	mu      sync.Mutex
	open    map[uint16]uint64 // request IDs by slot
	closed  bool
	changed *sync.Cond // signals changes of open and closed
}

func newEdgeConn(conn net.Conn, tally *Tally, body string) *edgeConn {
	c := &edgeConn{conn: conn, tally: tally, body: body, ended: make(chan struct{}), open: map[uint16]uint64{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// readResponses records the outcome of each response until the connection ends.
func (c *edgeConn) readResponses() {
	defer close(c.ended)
	_ = ReadFastCGI(bufio.NewReader(c.conn), c.handleResponse)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
}

func (c *edgeConn) handleResponse(response FastCGIResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.open[response.Slot]
	if !ok {
		return
	}
	delete(c.open, response.Slot)
	c.changed.Broadcast()
	switch {
	case response.NoBody && response.ProtocolStatus == fcgiOverloaded:
		c.tally.Set(id, Rejected)
	case response.NoBody && response.ProtocolStatus == 0:
		c.tally.Set(id, Aborted)
	case response.NoBody:
		c.tally.Set(id, Failed)
	default:
		c.tally.Set(id, OutcomeOf(response.Text, ProcessorResult(id, c.body)))
	}
}

// full reports whether the slot is in use or the connection has its maximum of open requests.
func (c *edgeConn) full(slot uint16, slots int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, used := c.open[slot]
	return used || len(c.open) >= slots
}

// send writes a request. If the write is incomplete, its outcome is NotSent unless the node has already responded.
func (c *edgeConn) send(slot uint16, request *Request) error {
	c.mu.Lock()
	c.open[slot] = request.ID
	c.mu.Unlock()
	c.tally.Set(request.ID, Sent)
	text := request.FastCGI(slot)
	n, err := io.WriteString(c.conn, text)
	if err == nil || n == len(text) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[slot]; open {
		c.tally.Set(request.ID, NotSent)
	}
	delete(c.open, slot)
	return err
}

// waitForResponses waits until no request is open or the connection has ended.
func (c *edgeConn) waitForResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) > 0 && !c.closed {
		c.changed.Wait()
	}
}

// closeAndWait half-closes the connection and waits for its end, so that responses that the node has already written still arrive.
func (c *edgeConn) closeAndWait() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(finalResponseTimeout))
	<-c.ended
}
