package harness

import (
	"bufio"
	"context"
	"frosthub/internal/fake"
	"frosthub/internal/faultproxy"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// EdgeNode is an edge node that keeps its connections and goes on asking on them until it sees their end, as one does that has not heard
// of a drain yet. What it sees goes to a ledger.
type EdgeNode struct {
	Name       string // whose requests they are, in the ledger
	Address    string
	Proxy      *faultproxy.Proxy // on the way there; nil: none
	Conns      int
	Interval   time.Duration // between requests of a connection, in the mean
	Slots      int           // requests open on one, at most
	Handlers   []string
	CostMS     float64
	Body       string
	SplitShare float64                      // share of requests written in two pieces
	SplitPause time.Duration                // between those, at most
	ExcuseFor  func(began time.Time) string // why an end of a connection begun then is no fault of the node, empty if it is; nil: it is
}

// lastRecord is the length of the record that ends a request, with its padding.
const lastRecord = 8 + 3

// waitAnswers is how long a caller waits for what is open when it stops asking.
const waitAnswers = 6 * time.Second

// Run asks until the context is done, then waits for what is open.
func (c EdgeNode) Run(ctx context.Context, ledger *ExchangeLog, seed uint64) {
	var all sync.WaitGroup
	for i := range c.Conns {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				address := c.Address
				if c.Proxy != nil {
					address = c.Proxy.Address()
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					(&call{EdgeNode: c, ledger: ledger, conn: conn, open: map[uint16]written{}, began: time.Now()}).run(ctx, random)
					continue
				}
				select { // a refused connection proves that nothing ran
				case <-ctx.Done():
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	all.Wait()
}

// call is one connection of a caller.
type call struct {
	EdgeNode
	ledger *ExchangeLog
	conn   net.Conn

	mu   sync.Mutex
	open map[uint16]written // those written whole, by slot
	over time.Time          // when its end was seen; zero before

	began time.Time
	sent  int64 // bytes, with the request that is being written
}

// written is a request on a connection.
type written struct {
	id    uint64
	bytes int64 // of the connection, up to its end
}

func (c *call) run(ctx context.Context, random *rand.Rand) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = fake.ReadFastCGI(bufio.NewReader(c.conn), c.answer)
		c.end()
	}()
	defer func() { _ = c.conn.Close() }()
	for slot := uint16(1); ; slot = slot%1000 + 1 {
		select {
		case <-ctx.Done():
			c.waitForAnswers(ended)
			return
		case <-ended:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(c.Interval))):
		}
		if c.full(slot) {
			continue
		}
		if !c.write(slot, random) {
			<-ended
			return
		}
	}
}

func (c *call) full(slot uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, used := c.open[slot]
	return used || len(c.open) >= c.Slots
}

// write writes one request, and tells whether it was written whole.
func (c *call) write(slot uint16, random *rand.Rand) bool {
	id := random.Uint64() | 1
	req := fake.Request{ID: id, Handler: c.Handlers[random.IntN(len(c.Handlers))], Start: time.Now().UnixMilli(), CostMS: c.CostMS, Body: c.Body}
	text := req.FastCGI(slot)
	c.sent += int64(len(text))
	if random.Float64() < c.SplitShare {
		cut := 1 + random.IntN(len(text)-lastRecord) // what follows the last record's head is padding: an answer may come before it
		if _, err := io.WriteString(c.conn, text[:cut]); err != nil {
			return false
		}
		time.Sleep(time.Duration(random.Float64() * float64(c.SplitPause)))
		text = text[cut:]
	}
	c.mu.Lock()
	defer c.mu.Unlock() // its answer is not entered before it is
	if _, err := io.WriteString(c.conn, text); err != nil {
		return false
	}
	c.ledger.RecordSent(c.Name, id, req.Handler, time.Now())
	if c.over.IsZero() {
		c.open[slot] = written{id, c.sent}
	} else { // written after the end, which was not seen yet: it crossed it
		c.unanswered(written{id, c.sent})
	}
	return true
}

func (c *call) answer(a fake.FastCGIResponse) {
	c.mu.Lock()
	w, ok := c.open[a.Slot]
	delete(c.open, a.Slot)
	c.mu.Unlock()
	if !ok {
		return // refused before it was whole
	}
	outcome := fake.Failed
	switch {
	case a.NoBody && a.ProtocolStatus == 2:
		outcome = fake.Rejected
	case !a.NoBody:
		outcome = fake.OutcomeOf(a.Text, fake.ProcessorResult(w.id, c.Body))
	}
	c.ledger.RecordResponse(w.id, outcome, time.Now())
}

// end enters what the end of the connection leaves without an answer.
func (c *call) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = time.Now()
	for _, w := range c.open {
		c.unanswered(w)
	}
}

// unanswered enters a request whose connection ended without its answer, by what the node had of it and when the node ended.
func (c *call) unanswered(w written) {
	ended, excuse := c.over, ""
	if c.ExcuseFor != nil {
		excuse = c.ExcuseFor(c.began)
	}
	if c.Proxy != nil {
		client := c.conn.LocalAddr().String()
		at, had := c.Proxy.DeliveredAt(client, w.bytes)
		farEnded, broken := c.Proxy.ClosedAt(client)
		switch {
		case broken != "":
			excuse = broken
		case !had:
			excuse = "the node never had it"
		case farEnded.IsZero():
			excuse = "the node did not end it"
		default:
			c.ledger.RecordDelivered(w.id, at)
			ended = farEnded
		}
	}
	c.ledger.RecordClosed(w.id, ended, excuse)
}

func (c *call) waitForAnswers(ended chan struct{}) {
	for until := time.Now().Add(waitAnswers); time.Now().Before(until); {
		c.mu.Lock()
		open := len(c.open)
		c.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
