package failover

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/harness"
)

var schedules = flag.Int("schedules", 2000, "clusters to simulate; each takes several hundred steps")

// simStart is the time since the Unix epoch at which a simulation begins.
const simStart = 500_000 * time.Hour

// faultFreeSeeds is the first seed of clusters without faults.
const faultFreeSeeds = 1 << 40

// scenario selects the events of a simulation beyond the standard faults.
type scenario uint8

const (
	standardFaults scenario = iota
	membersChange           // nodes adopt another member list
	disksLost               // disks lose confirmed writes
)

// simCluster is a cluster in one process. Its links delay, lose and duplicate
// messages or are cut in one direction. Its nodes crash and restart with the
// writes that their disks had confirmed, or pause. Their failure detectors
// return wrong results at random. The seed determines a run completely.
type simCluster struct {
	harness.EventQueue
	random *rand.Rand
	seed   uint64
	nodes  []*simNode
	cut    map[link]bool

	lossRate           float64 // share of messages that are lost or duplicated
	falseDetectionRate float64
	maxWriteDelay      time.Duration // of a disk write
	processorsSurvive  bool          // processors survive crashes of their nodes
	faultless          bool
	membersChange      bool
	disksLost          bool
	keys               map[idempotency.Key]*keyRecord
	lastRequestID      uint64
	requestedAt        map[uint64]time.Duration
	answered           map[uint64]bool
	decisions          map[idempotency.Decision]int
	runs               int
	foundAtProcessors  int64
	joinedReplayables  int // answered with the result of another request's run
	finishedTransition int // nodes that have finished the membership change
	lostDisks          int
	finishedRefills    int

	history   []harness.HistoryEvent
	violation string // the first violated guarantee
	trace     []string
}

// link is the connection from one node to another in one direction, by index.
type link struct{ from, to int }

// keyRecord records the actual runs and answers of a key.
type keyRecord struct {
	replayable bool
	requests   int
	runs       int
	answer     []byte
	answeredAt time.Duration // time of the first answer
}

// newSimCluster returns a cluster whose nodes are up; size 0 selects a random
// size.
func newSimCluster(seed uint64, size int, scenario scenario) *simCluster {
	random := rand.New(rand.NewPCG(seed, 5))
	c := &simCluster{
		EventQueue:    harness.EventQueue{Now: simStart},
		random:        random,
		seed:          seed,
		cut:           map[link]bool{},
		membersChange: scenario == membersChange,
		disksLost:     scenario == disksLost,
		keys:          map[idempotency.Key]*keyRecord{},
		requestedAt:   map[uint64]time.Duration{},
		answered:      map[uint64]bool{},
		decisions:     map[idempotency.Decision]int{},
	}
	c.lossRate = []float64{0, 0, 0.02, 0.1}[random.IntN(4)]
	c.falseDetectionRate = []float64{0, 0.02, 0.3}[random.IntN(3)]
	c.maxWriteDelay = []time.Duration{4 * time.Millisecond, 60 * time.Millisecond}[random.IntN(2)]
	drawnSize := 3 + random.IntN(7)
	if size == 0 {
		size = drawnSize
	}
	if c.membersChange {
		size = 5 + random.IntN(4)
	}
	for i := range size {
		c.nodes = append(c.nodes, &simNode{cluster: c, index: i, name: string(rune('a' + i))})
	}
	for _, node := range c.nodes {
		node.start()
	}
	c.processorsSurvive = random.IntN(2) == 0
	if seed >= faultFreeSeeds {
		c.disableFaults()
	}
	return c
}

func (c *simCluster) disableFaults() {
	c.faultless = true
	c.lossRate = 0
	c.falseDetectionRate = 0
	c.maxWriteDelay = 4 * time.Millisecond
}

// simulate runs a cluster for a span of simulated time, with requests and
// faults, and checks its history.
func simulate(seed uint64, span time.Duration, scenario scenario) *simCluster {
	c := newSimCluster(seed, 0, scenario)
	stepsPerFault := 10 + c.random.IntN(60)
	for at := time.Duration(0); at < span; at += c.randomUpTo(20 * time.Millisecond) {
		c.After(at, c.sendRequest)
		if !c.faultless && c.random.IntN(stepsPerFault) == 0 {
			c.After(at, c.injectFault)
		}
	}
	for c.Now < simStart+span && c.violation == "" && c.Next(math.MaxInt64) {
	}
	for _, node := range c.nodes {
		c.foundAtProcessors += node.stateMachine.Stats().FoundAtProcessor
	}
	if key, ok := harness.Linearizable(c.history); !ok {
		c.recordViolation("the history of key %x is not linearizable", key)
	}
	return c
}

// node returns the node with the given name.
func (c *simCluster) node(name string) *simNode { return c.nodes[name[0]-'a'] }

func (c *simCluster) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit) + 1))
}

func (c *simCluster) log(format string, args ...any) {
	if len(c.trace) < 3000 {
		c.trace = append(c.trace, fmt.Sprintf("%8s ", c.Now-simStart)+fmt.Sprintf(format, args...))
	}
}

// recordViolation records that a guarantee is violated.
func (c *simCluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
		c.log("VIOLATION %s", c.violation)
	}
}

// requireNoViolation fails the test and logs the trace if a guarantee was
// violated.
func (c *simCluster) requireNoViolation(t *testing.T) {
	t.Helper()
	if c.violation == "" {
		return
	}
	for _, line := range c.trace {
		t.Log(line)
	}
	t.Fatalf("seed %d: %s", c.seed, c.violation)
}

// sendRequest sends a request of a client to one or two nodes. Keys are few, so
// that most requests are duplicates.
func (c *simCluster) sendRequest() {
	key := idempotency.Key{13: 1, 15: byte(c.random.IntN(12))} // never all zero
	key[14] = byte(c.Count() / 4000)
	left := time.Second
	if c.membersChange { // no client retries a key after this interval
		key[14] = byte((c.Now - simStart) / (200 * time.Millisecond))
		left = 300 * time.Millisecond
	}
	if c.keys[key] == nil {
		c.keys[key] = &keyRecord{replayable: key[15] >= 9}
	}
	record := c.keys[key]
	record.requests++
	for range 1 + c.random.IntN(2) {
		node := c.nodes[c.random.IntN(len(c.nodes))]
		c.lastRequestID++
		id := c.lastRequestID
		if !node.up {
			continue
		}
		node.after(0, func() {
			node.requests[id] = key
			c.requestedAt[id] = c.Now
			c.log("%s/%d %x %d: requested", node.name, node.incarnation, key[15], id)
			work := Work{Handler: "file-claim", Left: int64(left), Replayable: record.replayable}
			node.stateMachine.Claim(c.Now, key, 0, id, work)
		})
	}
}
