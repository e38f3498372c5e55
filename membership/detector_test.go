package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var largestCluster = flag.Int("boxes", 50, "nodes of the largest simulated cluster; 500 outside CI")

// simStep is the resolution of the simulated time.
const simStep = 5 * time.Millisecond

// simCluster is a simulated cluster whose links delay and lose messages.
type simCluster struct {
	random     *rand.Rand
	now        time.Duration
	detectors  []*Detector
	running    []bool
	names      []string
	queue      map[time.Duration][]func() // deliveries by simulated time
	loss       float64                    // fraction of the messages that are lost
	extraDelay map[int]time.Duration      // by receiving node: added to the delay of each message
	bytes      int                        // estimate of the bytes sent
}

func newSimCluster(size int, seed uint64) *simCluster {
	c := &simCluster{
		random:     rand.New(rand.NewPCG(seed, 9)),
		detectors:  make([]*Detector, size),
		running:    make([]bool, size),
		queue:      map[time.Duration][]func(){},
		extraDelay: map[int]time.Duration{},
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprint("n", i))
	}
	for i := range size {
		c.start(i, 1)
	}
	return c
}

// start starts or restarts a node in the given incarnation.
func (c *simCluster) start(node int, incarnation uint64) {
	cfg := Config{Name: c.names[node], Incarnation: incarnation, Others: c.names}
	c.running[node] = true
	c.detectors[node] = New(cfg, uint64(node)*7919+incarnation, c.now)
}

// index returns the index of the node with the given name.
func (c *simCluster) index(name string) int {
	node := 0
	_, _ = fmt.Sscanf(name, "n%d", &node)
	return node
}

// advance simulates the given duration.
func (c *simCluster) advance(duration time.Duration) {
	for end := c.now + duration; c.now < end; c.now += simStep {
		due := c.queue[c.now]
		delete(c.queue, c.now)
		for _, deliver := range due {
			deliver()
		}
		for i, detector := range c.detectors {
			if c.running[i] {
				detector.Tick(c.now)
				c.flush(i)
			}
		}
	}
}

// flush schedules the delivery of the messages that a node has queued, and drops some at random.
func (c *simCluster) flush(node int) {
	detector := c.detectors[node]
	outbox, _ := detector.Ready()
	for _, envelope := range outbox {
		c.bytes += 40 + 24*len(envelope.Updates)
		if c.random.Float64() < c.loss {
			continue
		}
		to := c.index(envelope.To)
		message := envelope.Message
		incarnation := detector.self.Incarnation
		at := c.now + simStep*time.Duration(1+c.random.IntN(2)) + c.extraDelay[to].Truncate(simStep)
		c.queue[at] = append(c.queue[at], func() {
			if c.running[to] {
				c.detectors[to].Receive(c.now, c.names[node], incarnation, &message)
				c.flush(to)
			}
		})
	}
}

// countViews returns how many other running nodes have recorded the given state for a node.
func (c *simCluster) countViews(node int, state State) int {
	count := 0
	for i, detector := range c.detectors {
		if i != node && c.running[i] && detector.Lookup(c.names[node]).State == state {
			count++
		}
	}
	return count
}

// timeToDetect simulates up to a minute until all nodes have declared a node dead that was just stopped. It returns the time after which
// the first and the last of them did so, or 0 if that did not happen.
func (c *simCluster) timeToDetect(node int) (first, last time.Duration) {
	stoppedAt := c.now
	for c.now < stoppedAt+60*time.Second && last == 0 {
		c.advance(50 * time.Millisecond)
		views := c.countViews(node, Dead)
		if views > 0 && first == 0 {
			first = c.now - stoppedAt
		}
		if views == len(c.names)-1 {
			last = c.now - stoppedAt
		}
	}
	return first, last
}

// TestDetection checks that all nodes detect a dead node in bounded time, that message loss does not cause running nodes to be declared
// dead, that a restarted node is recorded with its new incarnation, and that a node that was falsely declared dead refutes this.
func TestDetection(t *testing.T) {
	for _, size := range []int{5, *largestCluster} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) { testDetection(t, size) })
	}
}

func testDetection(t *testing.T, size int) {
	c := newSimCluster(size, uint64(size))
	c.advance(time.Duration(size)*200*time.Millisecond + 2*time.Second)
	if got := c.countViews(0, Alive); got != size-1 {
		t.Fatalf("%d nodes: %d have recorded the first node as alive", size, got)
	}
	c.bytes = 0
	c.advance(2 * time.Second)
	bytesPerSecond := float64(c.bytes) / 2 / float64(size)

	c.running[1] = false
	first, last := c.timeToDetect(1)
	if last == 0 || last > 20*time.Second {
		t.Errorf("%d nodes: not all detected the dead node in time: %d", size, c.countViews(1, Dead))
	}

	c.start(1, 2)
	c.advance(3*time.Second + time.Duration(size)*100*time.Millisecond)
	if got := c.countViews(1, Alive); got != size-1 || c.detectors[0].Lookup("n1").Incarnation != 2 {
		t.Errorf("%d nodes: %d have recorded the restarted node as alive, in incarnation %d", size, got, c.detectors[0].Lookup("n1").Incarnation)
	}

	c.loss = 0.1
	falseDeaths, views := 0, 0
	for range 100 {
		c.advance(100 * time.Millisecond)
		for i := range c.names {
			falseDeaths += c.countViews(i, Dead)
			views += size - 1
		}
	}
	if share := float64(falseDeaths) / float64(views); share > 0.001 {
		t.Errorf("%d nodes at a message loss of 0.1: %.4f of the recorded states are falsely dead", size, share)
	}
	c.loss = 0

	c.extraDelay[2] = 400 * time.Millisecond
	c.advance(8 * time.Second)
	health := c.detectors[2].LocalHealth()
	delete(c.extraDelay, 2)
	c.advance(time.Duration(size)*200*time.Millisecond + 6*time.Second)
	if got := c.countViews(2, Alive); got != size-1 {
		t.Errorf("%d nodes: only %d have recorded the node that was slow as alive", size, got)
	}
	t.Logf("%d nodes: first detects after %s, all after %s; %.0f bytes per node and second; falsely dead at a message loss of 0.1: %d of %d; local health %d",
		size, first, last, bytesPerSecond, falseDeaths, views, health)
}

// TestStaleIncarnations checks that messages from an earlier incarnation are ignored, and that a node refutes false reports about itself.
func TestStaleIncarnations(t *testing.T) {
	d := New(Config{Name: "a", Incarnation: 3, Others: []string{"a", "b", "c"}}, 1, 0)
	d.Receive(0, "b", 2, &Message{Kind: Ping, Number: 1})
	stale := Message{Kind: Ping, Number: 9, Updates: []Update{{Name: "c", Incarnation: 5, State: Dead}}}
	d.Receive(0, "b", 1, &stale)
	if d.Lookup("b").Incarnation != 2 || d.Lookup("c").State != Unknown {
		t.Error(d.Snapshot())
	}
	outbox, _ := d.Ready()
	if len(outbox) != 1 || outbox[0].To != "b" || outbox[0].Kind != Ack {
		t.Error(outbox)
	}
	falseReports := Message{Kind: Ack, Updates: []Update{
		{Name: "a", Incarnation: 3, State: Dead},
		{Name: "a", Incarnation: 2, Refutation: 9, State: Dead},
	}}
	d.Receive(0, "b", 2, &falseReports)
	if self := d.Lookup("a"); self.State != Alive || self.Refutation != 1 {
		t.Error(self)
	}
	d.Receive(0, "x", 1, &Message{Kind: Ping})
	if _, known := d.peers["x"]; known {
		t.Error("a node that is not in Config.Others was added")
	}
}

// TestMemoryBound checks that the memory of a Detector is bounded by the number of nodes that exist: ten times as many nodes that are
// added, send messages, are the subject of updates and are removed leave no state behind.
func TestMemoryBound(t *testing.T) {
	const size, rounds = 50, 11
	namesOf := func(round int) []string {
		names := []string{"me"}
		for i := range size {
			names = append(names, fmt.Sprint("n", round*size+i))
		}
		return names
	}
	d := New(Config{Name: "me", Incarnation: 1, Others: namesOf(0)}, 3, 0)
	maxUpdates := 0
	now := time.Duration(0)
	for round := range rounds {
		names := namesOf(round)
		d.SetOthers(names)
		for i, name := range names[1:] {
			m := Message{Kind: Ping, Number: uint64(i), Updates: []Update{
				{Name: name, Incarnation: 1, State: Dead},
				{Name: "stranger" + name, Incarnation: 1, State: Alive},
				{Name: fmt.Sprint("n", i), Incarnation: 9, State: Suspect},
			}}
			d.Receive(now, name, 1, &m)
		}
		for range 100 {
			now += 50 * time.Millisecond
			d.Tick(now)
			outbox, _ := d.Ready()
			for _, envelope := range outbox {
				maxUpdates = max(maxUpdates, len(envelope.Updates))
			}
		}
		if len(d.peers) != size || len(d.probeOrder) != size || len(d.probes) > size || len(d.suspects) > size || len(d.gossip.latest) > size+1 {
			t.Fatalf("round %d: %d peers, %d in probe order, %d probes, %d suspects, %d names in the gossip queue", round, len(d.peers), len(d.probeOrder),
				len(d.probes), len(d.suspects), len(d.gossip.latest))
		}
	}
	if maxUpdates == 0 || maxUpdates > 20 {
		t.Error("updates in a message: ", maxUpdates)
	}
}
