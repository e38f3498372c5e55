package harness

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
)

const (
	// finalRecordSize is the length in bytes of the last record of a request, including its padding.
	finalRecordSize = 8 + 3
	// maxSlot is the highest slot that an edge node uses on a connection.
	maxSlot = 1000
	// edgeDialTimeout limits how long an edge node waits for a connection.
	edgeDialTimeout = time.Second
	// redialPause is the delay before an edge node reconnects after a failure.
	redialPause = 5 * time.Millisecond
	// finalResponseTimeout limits how long an edge node waits for open requests after it has stopped sending.
	finalResponseTimeout = 6 * time.Second
	// responsePollInterval is the interval at which it checks for open requests.
	responsePollInterval = time.Millisecond
)

// EdgeNode sends requests on persistent connections until it sees them end, like an edge node that has not been notified of a drain. It
// records each request and its result in an ExchangeLog.
type EdgeNode struct {
	Name       string // name of the receiving node in the log
	Address    string
	Proxy      *faultproxy.Proxy // proxy between edge node and node; nil: none
	Conns      int
	Interval   time.Duration // mean time between requests of a connection
	Slots      int           // maximum of open requests on a connection
	Handlers   []string
	CostMS     float64
	Body       string
	SplitShare float64       // share of requests that are written in two parts
	SplitPause time.Duration // maximum time between the two parts

	// ExcuseFor returns why the node is not at fault for the end of a connection that was opened at the given time. An empty string
	// means that it is at fault. If ExcuseFor is nil, the node is at fault for each end.
	ExcuseFor func(began time.Time) string
}

// Run sends requests until the context is done, then waits for the responses to open requests.
func (e EdgeNode) Run(ctx context.Context, log *ExchangeLog, seed uint64) {
	var conns sync.WaitGroup
	for i := range e.Conns {
		conns.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", e.dialAddress(), edgeDialTimeout)
				if err == nil {
					c := &edgeConn{edge: e, log: log, conn: conn, open: map[uint16]sentRequest{}, openedAt: time.Now()}
					c.run(ctx, random)
					continue
				}
				select { // there is nothing to record: no request was sent on a refused connection
				case <-ctx.Done():
				case <-time.After(redialPause):
				}
			}
		})
	}
	conns.Wait()
}

func (e EdgeNode) dialAddress() string {
	if e.Proxy != nil {
		return e.Proxy.Address()
	}
	return e.Address
}

// edgeConn is one connection of an EdgeNode. One goroutine sends requests while another reads responses.
type edgeConn struct {
	edge      EdgeNode
	log       *ExchangeLog
	conn      net.Conn
	openedAt  time.Time
	bytesSent int64 // includes the request that is being written

	mu       sync.Mutex
	open     map[uint16]sentRequest // requests written completely, by slot
	closedAt time.Time              // when the end of the connection was read; zero while it is open
}

// sentRequest identifies a request that was written completely.
type sentRequest struct {
	id        uint64
	endOffset int64 // bytes of the connection up to the end of the request
}

func (c *edgeConn) run(ctx context.Context, random *rand.Rand) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = fake.ReadFastCGI(bufio.NewReader(c.conn), c.handleResponse)
		c.handleClose()
	}()
	defer func() { _ = c.conn.Close() }()
	for slot := uint16(1); ; slot = slot%maxSlot + 1 {
		select {
		case <-ctx.Done():
			c.waitForResponses(ended)
			return
		case <-ended:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(c.edge.Interval))):
		}
		if c.full(slot) {
			continue
		}
		if !c.send(slot, random) {
			<-ended
			return
		}
	}
}

// full reports whether the slot is in use or the connection has its maximum of open requests.
func (c *edgeConn) full(slot uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, used := c.open[slot]
	return used || len(c.open) >= c.edge.Slots
}

// send writes a random request and reports whether it was written completely.
func (c *edgeConn) send(slot uint16, random *rand.Rand) bool {
	request := fake.Request{
		ID:      random.Uint64() | 1,
		Handler: c.edge.Handlers[random.IntN(len(c.edge.Handlers))],
		Start:   time.Now().UnixMilli(),
		CostMS:  c.edge.CostMS,
		Body:    c.edge.Body,
	}
	text := request.FastCGI(slot)
	c.bytesSent += int64(len(text))
	if random.Float64() < c.edge.SplitShare {
		// The split lies before the last record: the node may respond once it has read that record's header, before the padding is written.
		split := 1 + random.IntN(len(text)-finalRecordSize)
		if _, err := io.WriteString(c.conn, text[:split]); err != nil {
			return false
		}
		time.Sleep(time.Duration(random.Float64() * float64(c.edge.SplitPause)))
		text = text[split:]
	}
	c.mu.Lock()
	defer c.mu.Unlock() // held until the request is recorded, so that its response is handled afterwards
	if _, err := io.WriteString(c.conn, text); err != nil {
		return false
	}
	c.log.RecordSent(c.edge.Name, request.ID, request.Handler, time.Now())
	sent := sentRequest{id: request.ID, endOffset: c.bytesSent}
	if c.closedAt.IsZero() {
		c.open[slot] = sent
	} else { // the end of the connection was handled before this request was recorded
		c.recordUnanswered(sent)
	}
	return true
}

func (c *edgeConn) handleResponse(response fake.FastCGIResponse) {
	c.mu.Lock()
	request, ok := c.open[response.Slot]
	delete(c.open, response.Slot)
	c.mu.Unlock()
	if !ok {
		return // the node rejected the request before it was written completely
	}
	outcome := fake.Failed
	switch {
	case response.NoBody && response.ProtocolStatus == 2:
		outcome = fake.Rejected
	case !response.NoBody:
		outcome = fake.OutcomeOf(response.Text, fake.ProcessorResult(request.id, c.edge.Body))
	}
	c.log.RecordResponse(request.id, outcome, time.Now())
}

// handleClose records the requests that are still open when the connection ends.
func (c *edgeConn) handleClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedAt = time.Now()
	for _, request := range c.open {
		c.recordUnanswered(request)
	}
}

// recordUnanswered records a request whose connection ended without its response. Behind a proxy it records when the node received the
// request and closed the connection, or why the node is not at fault. The caller holds the mutex.
func (c *edgeConn) recordUnanswered(request sentRequest) {
	closedAt := c.closedAt
	excuse := ""
	if c.edge.ExcuseFor != nil {
		excuse = c.edge.ExcuseFor(c.openedAt)
	}
	if c.edge.Proxy != nil {
		client := c.conn.LocalAddr().String()
		deliveredAt, delivered := c.edge.Proxy.DeliveredAt(client, request.endOffset)
		nodeClosedAt, reason := c.edge.Proxy.ClosedAt(client)
		switch {
		case reason != "":
			excuse = reason
		case !delivered:
			excuse = "the node did not receive the complete request"
		case nodeClosedAt.IsZero():
			excuse = "the node did not close the connection"
		default:
			c.log.RecordDelivered(request.id, deliveredAt)
			closedAt = nodeClosedAt
		}
	}
	c.log.RecordClosed(request.id, closedAt, excuse)
}

// waitForResponses waits until no request is open, the connection has ended, or the timeout has passed.
func (c *edgeConn) waitForResponses(ended chan struct{}) {
	deadline := time.Now().Add(finalResponseTimeout)
	for time.Now().Before(deadline) {
		c.mu.Lock()
		open := len(c.open)
		c.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(responsePollInterval):
		}
	}
}
