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
	// finalRecordSize is the length in bytes of the record that ends a request, with its padding.
	finalRecordSize = 8 + 3
	// maxSlot is the highest slot that an edge node uses on a connection.
	maxSlot = 1000
	// edgeDialTimeout is how long an edge node waits for a connection.
	edgeDialTimeout = time.Second
	// redialPause is how long an edge node waits before it connects again after a failure.
	redialPause = 5 * time.Millisecond
	// finalResponseTimeout is how long an edge node waits for its open requests once it sends no more.
	finalResponseTimeout = 6 * time.Second
	// responsePollInterval is how often it looks whether any is still open.
	responsePollInterval = time.Millisecond
)

// EdgeNode is an edge node that keeps its connections and sends requests on them until it sees their end, as one does that has not
// been notified of a drain. It records what it sees in an ExchangeLog.
type EdgeNode struct {
	Name       string // the node that receives the requests, as named in the log
	Address    string
	Proxy      *faultproxy.Proxy // on the way to the node; nil: none
	Conns      int
	Interval   time.Duration // mean time between requests of a connection
	Slots      int           // maximum of open requests on a connection
	Handlers   []string
	CostMS     float64
	Body       string
	SplitShare float64       // share of requests written in two parts
	SplitPause time.Duration // maximum time between the parts

	// ExcuseFor returns why the end of a connection that was begun at the given time is not the node's fault, empty if it is. If
	// nil, each end is the node's fault.
	ExcuseFor func(began time.Time) string
}

// Run sends requests until the context is done, then waits for the open ones.
func (e EdgeNode) Run(ctx context.Context, log *ExchangeLog, seed uint64) {
	var conns sync.WaitGroup
	for i := range e.Conns {
		conns.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", e.dialAddress(), edgeDialTimeout)
				if err == nil {
					c := &edgeConn{edge: e, log: log, conn: conn, open: map[uint16]sentRequest{}, began: time.Now()}
					c.run(ctx, random)
					continue
				}
				select { // no request ran on a refused connection
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

// edgeConn is one connection of an EdgeNode. One goroutine sends on it while another reads responses.
type edgeConn struct {
	edge  EdgeNode
	log   *ExchangeLog
	conn  net.Conn
	began time.Time
	sent  int64 // bytes, including the request that is being written

	mu       sync.Mutex
	open     map[uint16]sentRequest // requests written completely, by slot
	closedAt time.Time              // when its end was seen; zero before
}

// sentRequest is a request that was written completely.
type sentRequest struct {
	id  uint64
	end int64 // bytes of the connection up to its end
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

// send draws a request and writes it, and reports whether it was written completely.
func (c *edgeConn) send(slot uint16, random *rand.Rand) bool {
	request := fake.Request{
		ID:      random.Uint64() | 1,
		Handler: c.edge.Handlers[random.IntN(len(c.edge.Handlers))],
		Start:   time.Now().UnixMilli(),
		CostMS:  c.edge.CostMS,
		Body:    c.edge.Body,
	}
	text := request.FastCGI(slot)
	c.sent += int64(len(text))
	if random.Float64() < c.edge.SplitShare {
		// Split before the last record: once its header is read the response may come, before its padding is written.
		split := 1 + random.IntN(len(text)-finalRecordSize)
		if _, err := io.WriteString(c.conn, text[:split]); err != nil {
			return false
		}
		time.Sleep(time.Duration(random.Float64() * float64(c.edge.SplitPause)))
		text = text[split:]
	}
	c.mu.Lock()
	defer c.mu.Unlock() // until the request is recorded, so that its response is handled after that
	if _, err := io.WriteString(c.conn, text); err != nil {
		return false
	}
	c.log.RecordSent(c.edge.Name, request.ID, request.Handler, time.Now())
	sent := sentRequest{id: request.ID, end: c.sent}
	if c.closedAt.IsZero() {
		c.open[slot] = sent
	} else { // the connection had ended, and this goroutine had not seen it
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
		return // rejected before it was written completely
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

// handleClose records the requests that the end of the connection leaves without a response.
func (c *edgeConn) handleClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedAt = time.Now()
	for _, request := range c.open {
		c.recordUnanswered(request)
	}
}

// recordUnanswered records a request whose connection ended without its response: what the node had received of it, and when the node
// closed the connection. The caller holds the mutex.
func (c *edgeConn) recordUnanswered(request sentRequest) {
	closedAt := c.closedAt
	excuse := ""
	if c.edge.ExcuseFor != nil {
		excuse = c.edge.ExcuseFor(c.began)
	}
	if c.edge.Proxy != nil {
		client := c.conn.LocalAddr().String()
		deliveredAt, delivered := c.edge.Proxy.DeliveredAt(client, request.end)
		nodeClosedAt, reason := c.edge.Proxy.ClosedAt(client)
		switch {
		case reason != "":
			excuse = reason
		case !delivered:
			excuse = "the node never received it"
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
