package recovery

import (
	"cmp"
	"slices"
	"time"

	"frosthub/internal/prng"
)

// RefillConfig says whom a Refill asks, and how fast. PageInterval and MaxConcurrent take a default if they are zero.
type RefillConfig struct {
	// Incarnation is that of this node's process: pages meant for an earlier one are ignored.
	Incarnation uint64
	// Others names all nodes that share keys with this one.
	Others []string
	// PageInterval is the time from one page of a source to the query for its next.
	PageInterval time.Duration
	// MaxConcurrent is how many sources are asked at a time.
	MaxConcurrent int
}

const (
	// Defaults of RefillConfig: fifty pages a second and source are some hundred thousand keys. A source spends about a millisecond on a page,
	// and this node some writes.
	defaultPageInterval  = 20 * time.Millisecond
	defaultMaxConcurrent = 3

	// Timeout of a page, doubled each time that none comes.
	minPageTimeout = 300 * time.Millisecond
	maxPageTimeout = 4 * time.Second

	// incompleteInterval is how long a source that has lost history itself is left alone before it is asked from the start.
	incompleteInterval = 5 * time.Second
)

// sourceState is how far a source of a Refill has come.
//
//	from        to          when
//	notAsked    sending     the first query: query
//	sending     complete    its last page came, and it has lost nothing itself: finishPass
//	sending     incomplete  its last page came, but it has lost history itself: finishPass
//	incomplete  sending     it is asked again from the start: query
type sourceState uint8

const (
	notQueried sourceState = iota
	sending
	incomplete
	complete
)

// Names of Progress.State. They are read in operators' reports and stay as they are.
const (
	progressNotQueried = "not asked"
	progressSending    = "tells"
	progressSilent     = "silent"
	progressIncomplete = "not whole"
	progressComplete   = "told"
)

// source is a node that is asked for what it knows.
type source[C comparable] struct {
	state       sourceState
	incarnation uint64 // of its process: cursors of another process mean nothing
	cursor      C      // where its next page begins; the zero value is the start
	outstanding bool   // a page was asked for and did not come yet
	nextQueryAt time.Duration
	timeout     time.Duration // of the next page
	pages       int
	keys        int
}

// PageQuery is a query to a node for a page.
type PageQuery[C comparable] struct {
	To   string
	From C // where the page begins, as that node said
}

// PageInfo describes a page without its content.
type PageInfo[C comparable] struct {
	Incarnation uint64 // of the process that asked for it
	From        C      // where it begins
	Next        C      // where the next one begins
	Keys        int    // how many it has
	Last        bool   // there is no next one
	Complete    bool   // the source has not lost any history itself
}

// Refill is the state transfer to a node that has lost history: the other nodes send it what they know, page by page, while it serves. Refill
// decides whom to ask for the next page and when, and tells for which nodes' keys the history is complete again.
//
// C is the type of the cursors by which a source finds the place where a page begins. Their zero value is the start; otherwise they mean
// something only to the process that made them. Make a Refill with NewRefill. It is not safe for concurrent use.
type Refill[C comparable] struct {
	cfg          RefillConfig
	sources      map[string]*source[C]
	order        []string        // names of the sources, in which they are asked
	excluded     map[string]bool // nodes that never come back, as an operator said
	randomSource prng.Source
	done         bool
}

// NewRefill returns a Refill that has asked nobody yet. The seed decides the order and the moments of its queries.
func NewRefill[C comparable](cfg RefillConfig, seed uint64) *Refill[C] {
	cfg.PageInterval = cmp.Or(cfg.PageInterval, defaultPageInterval)
	cfg.MaxConcurrent = cmp.Or(cfg.MaxConcurrent, defaultMaxConcurrent)
	r := &Refill[C]{cfg: cfg, excluded: map[string]bool{}, randomSource: prng.New(seed)}
	r.SetOthers(cfg.Others)
	return r
}

// SetOthers replaces the names of the nodes that share keys with this one. The transfer begins anew, since what a node sends depends on the
// configuration of the cluster.
func (r *Refill[C]) SetOthers(others []string) {
	r.sources = map[string]*source[C]{}
	r.order = nil
	r.done = false
	for _, name := range others {
		if r.excluded[name] {
			continue
		}
		r.order = append(r.order, name)
		r.sources[name] = &source[C]{timeout: minPageTimeout}
	}
	// Nodes that come back together should not all ask the same one first.
	r.randomSource.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
}

// Exclude says that a node never comes back. What only that one and this one knew is lost, and taken for never run.
func (r *Refill[C]) Exclude(name string) {
	r.excluded[name] = true
	delete(r.sources, name)
	r.order = slices.DeleteFunc(r.order, func(other string) bool { return other == name })
	r.updateDone()
}

// Tick returns the queries that are due. alive reports whether a node seems to be running: the first query to a node waits for that.
func (r *Refill[C]) Tick(now time.Duration, alive func(string) bool) []PageQuery[C] {
	var queries []PageQuery[C]
	concurrent := r.countActive()
	for _, name := range r.order {
		s := r.sources[name]
		if s.state == complete || now < s.nextQueryAt {
			continue
		}
		if s.state == notQueried {
			if concurrent >= r.cfg.MaxConcurrent || !alive(name) {
				continue
			}
			concurrent++
		}
		r.query(now, s)
		queries = append(queries, PageQuery[C]{To: name, From: s.cursor})
	}
	return queries
}

// concurrent counts the sources that are being asked, without those that have long been silent.
func (r *Refill[C]) countActive() int {
	count := 0
	for _, s := range r.sources {
		if s.state == sending && s.timeout < maxPageTimeout {
			count++
		}
	}
	return count
}

// query asks a source for its next page, or again for one that did not come.
func (r *Refill[C]) query(now time.Duration, s *source[C]) {
	if s.outstanding {
		s.timeout = min(2*s.timeout, maxPageTimeout)
	}
	s.state = sending
	s.outstanding = true
	s.nextQueryAt = now + r.randomSource.Jitter(s.timeout)
}

// Expects reports whether a page from a node's process of that incarnation is the one that is waited for; then the caller handles its content and
// calls PageReceived. If the node has restarted in the middle of the transfer, Wants returns false and begins with it from the start.
func (r *Refill[C]) Expects(from string, incarnation uint64, page *PageInfo[C]) bool {
	s := r.sources[from]
	if s == nil || s.state == complete || !s.outstanding || page.Incarnation != r.cfg.Incarnation {
		return false
	}
	var start C
	if s.cursor != start && s.incarnation != incarnation {
		s.cursor = start
		s.incarnation = incarnation
		s.outstanding = false
		s.nextQueryAt = 0
		return false
	}
	s.incarnation = incarnation
	return s.cursor == page.From
}

// PageReceived says that a page for which Wants returned true was handled. If not all of it could be taken, it is asked for again later.
func (r *Refill[C]) PageReceived(now time.Duration, from string, page *PageInfo[C], stored bool) {
	s := r.sources[from]
	s.outstanding = false
	if !stored {
		s.nextQueryAt = now + maxPageTimeout
		return
	}
	interval := r.cfg.PageInterval
	if s.cursor == page.Next {
		interval = minPageTimeout // there was nothing new: the source waits for its own disk
	}
	s.cursor = page.Next
	s.timeout = minPageTimeout
	s.pages++
	s.keys += page.Keys
	if page.Last {
		s.finishPass(now, page.Complete)
	} else {
		s.nextQueryAt = now + interval
	}
	r.updateDone()
}

// finishPass follows the last page of a source.
func (s *source[C]) finishPass(now time.Duration, isComplete bool) {
	if isComplete {
		s.state = complete
		return
	}
	var start C
	s.state = incomplete
	s.cursor = start
	s.nextQueryAt = now + incompleteInterval
}

// updateDone finds out whether all sources have sent all that they know.
func (r *Refill[C]) updateDone() {
	r.done = !slices.ContainsFunc(r.order, func(name string) bool { return r.sources[name].state != complete })
}

// Covers reports whether all these nodes have sent all that they know, so that the history of the keys which they share with this node is
// complete.
func (r *Refill[C]) Covers(others []string) bool {
	return !slices.ContainsFunc(others, func(name string) bool {
		s := r.sources[name]
		return !r.excluded[name] && (s == nil || s.state != complete)
	})
}

// Done reports whether all nodes have sent all that they know.
func (r *Refill[C]) Done() bool { return r.done }

// Progress is how far the transfer from one node has come.
type Progress struct {
	Name string `json:"name"`
	// State is "not asked", "tells" (it sends), "silent" (it does not answer), "not whole" (it has sent all, but has lost history itself) or
	// "told" (it has sent all).
	State string `json:"state"`
	Keys  int    `json:"keys"`  // received
	Pages int    `json:"pages"` // received
}

// Progress returns the progress of each node, in the order in which they are asked.
func (r *Refill[C]) Progress() []Progress {
	var all []Progress
	for _, name := range r.order {
		s := r.sources[name]
		all = append(all, Progress{Name: name, State: s.progressState(), Keys: s.keys, Pages: s.pages})
	}
	return all
}

// progressState names the state of a source for Progress.
func (s *source[C]) progressState() string {
	switch {
	case s.state == complete:
		return progressComplete
	case s.state == incomplete:
		return progressIncomplete
	case s.state == notQueried:
		return progressNotQueried
	case s.timeout > minPageTimeout:
		return progressSilent
	default:
		return progressSending
	}
}
