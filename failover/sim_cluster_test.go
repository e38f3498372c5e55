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

var schedules = flag.Int("schedules", 2000, "clusters to simulate; each takes some hundred steps")

// simStart is when a simulation begins, since 1970.
const simStart = 500_000 * time.Hour

// calmSeeds is the first of the seeds of clusters in which nothing fails.
const faultFreeSeeds = 1 << 40

// scenario is what happens in a simulation beside the usual faults.
type scenario uint8

const (
	standardFaults scenario = iota
	membersChange           // nodes adopt another member list
	disksLost               // disks lose what they had confirmed
)

// simCluster is a cluster in one process: its links delay, lose and repeat
// messages or are cut in one direction; its nodes crash and come back with what
// their disks had confirmed, or pause; and their beliefs about who is alive are
// wrong at random. A seed determines a run completely.
type simCluster struct {
	harness.EventQueue
	random *rand.Rand
	seed   uint64
	nodes  []*simNode
	cut    map[link]bool

	lossRate           float64 // of messages that are lost or repeated
	falseDetectionRate float64
	maxWriteDelay      time.Duration // of a disk
	processorsSurvive  bool          // their nodes' crashes
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
	joinedReplayables  int // answered from the run of another request
	finishedTransition int // nodes that have ended the change of members
	lostDisks          int
	finishedRefills    int

	history   []harness.HistoryEvent
	violation string // the first broken guarantee
	trace     []string
}

// link is the direction from one node to another, by index.
type link struct{ from, to int }

// keyTruth is what really happened to a key.
type keyRecord struct {
	replayable bool
	requests   int
	runs       int
	answer     []byte
	answeredAt time.Duration // for the first time
}

// newSimCluster returns a cluster whose nodes are up; size 0 draws one.
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

// simulate plays a cluster for a span of its own time, with requests and faults,
// and judges its history.
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
		c.foundAtProcessors += node.machine.Stats().FoundAtProcessor
	}
	if key, ok := harness.Linearizable(c.history); !ok {
		c.recordViolation("no order explains %x", key)
	}
	return c
}

// node returns the node of a name.
func (c *simCluster) node(name string) *simNode { return c.nodes[name[0]-'a'] }

func (c *simCluster) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit) + 1))
}

func (c *simCluster) log(format string, args ...any) {
	if len(c.trace) < 3000 {
		c.trace = append(c.trace, fmt.Sprintf("%8s ", c.Now-simStart)+fmt.Sprintf(format, args...))
	}
}

// violated records that a guarantee is broken.
func (c *simCluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
		c.log("VIOLATION %s", c.violation)
	}
}

// requireSound ends a test where a guarantee was broken, with all that led there.
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

// sendRequest has a client send a request to one or two nodes. Keys are few, so
// that most requests are duplicates.
func (c *simCluster) sendRequest() {
	key := idempotency.Key{13: 1, 15: byte(c.random.IntN(12))} // none is all zero
	key[14] = byte(c.Count() / 4000)
	left := time.Second
	if c.membersChange { // nobody asks for a key again after a while
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
			node.machine.Claim(c.Now, key, 0, id, work)
		})
	}
}
