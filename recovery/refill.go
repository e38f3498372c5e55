package recovery

import (
	"cmp"
	"slices"
	"time"

	"frosthub/internal/prng"
)

// RefillConfig configures a Refill. PageInterval and MaxConcurrent take their defaults if they are zero.
type RefillConfig struct {
	// Incarnation is the incarnation of this node. Pages that answer queries of another incarnation are ignored.
	Incarnation uint64
	// Others lists the names of all nodes that share keys with this one.
	Others []string
	// PageInterval is the time between the arrival of a page from a source and the query for the next one.
	PageInterval time.Duration
	// MaxConcurrent is the number of sources that are queried at the same time.
	MaxConcurrent int
}

const (
	// Defaults of RefillConfig. Fifty pages per second and source carry about a hundred thousand keys. Each page costs the source about a
	// millisecond and this node several writes.
	defaultPageInterval  = 20 * time.Millisecond
	defaultMaxConcurrent = 3

	// Timeout of a page query. It doubles each time that no page arrives.
	minPageTimeout = 300 * time.Millisecond
	maxPageTimeout = 4 * time.Second

	// incompleteInterval is how long to wait before a source that has lost history itself is queried again from the start.
	incompleteInterval = 5 * time.Second
)

// sourceState is the transfer state of a source of a Refill.
//
//	from        to          when
//	notQueried  sending     the first query is sent: query
//	sending     complete    the last page arrived, and the source has lost no history itself: finishPass
//	sending     incomplete  the last page arrived, but the source has lost history itself: finishPass
//	incomplete  sending     the source is queried again from the start: query
type sourceState uint8

const (
	notQueried sourceState = iota
	sending
	incomplete
	complete
)

// Values of Progress.State. They are part of operators' reports and must not change.
const (
	progressNotQueried = "not asked"
	progressSending    = "tells"
	progressSilent     = "silent"
	progressIncomplete = "not whole"
	progressComplete   = "told"
)

// source is a node that is queried for its records.
type source[C comparable] struct {
	state       sourceState
	incarnation uint64 // incarnation of the source, whose cursors are valid only for the process that issued them
	cursor      C      // start of the next page; the zero value is the start of the first
	outstanding bool   // a query was sent and its page has not arrived
	nextQueryAt time.Duration
	timeout     time.Duration // timeout of the next query
	pages       int           // pages received
	keys        int           // keys in these pages
}

// PageQuery is a query for one page, sent to a source.
type PageQuery[C comparable] struct {
	To   string
	From C // start of the page: a cursor that the source issued, or the zero value
}

// PageInfo is the metadata of a page.
type PageInfo[C comparable] struct {
	Incarnation uint64 // incarnation of the node that sent the query
	From        C      // start of the page
	Next        C      // start of the next page
	Keys        int    // number of keys in the page
	Last        bool   // no page follows
	Complete    bool   // the source has lost no history itself
}

// Refill controls the state transfer to a node that has lost history: the other nodes send their records page by page while the node serves
// requests. Refill decides which source to query for its next page and when, and reports the nodes for whose shared keys the history is
// complete again.
//
// C is the type of the cursors with which a source finds the start of a page. The zero value is the start of the first page; any other
// value is valid only for the process that issued it. Create a Refill with NewRefill. It is not safe for concurrent use.
type Refill[C comparable] struct {
	cfg          RefillConfig
	sources      map[string]*source[C]
	order        []string        // names of the sources in the order of their first queries
	excluded     map[string]bool // nodes that an operator has declared gone for good
	randomSource prng.Source
	done         bool
}

// NewRefill returns a Refill that has sent no query yet. The seed determines the order and the times of its queries.
func NewRefill[C comparable](cfg RefillConfig, seed uint64) *Refill[C] {
	cfg.PageInterval = cmp.Or(cfg.PageInterval, defaultPageInterval)
	cfg.MaxConcurrent = cmp.Or(cfg.MaxConcurrent, defaultMaxConcurrent)
	r := &Refill[C]{cfg: cfg, excluded: map[string]bool{}, randomSource: prng.New(seed)}
	r.SetOthers(cfg.Others)
	return r
}

// SetOthers replaces the names of the nodes that share keys with this one. The transfer restarts, because the records that a node sends
// depend on the configuration of the cluster.
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
	// The random order keeps nodes that restart together from all querying the same source first.
	r.randomSource.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
}

// Exclude removes a node that is gone for good from the sources. Requests that only that node and this one had recorded are lost, and are
// treated as never run.
func (r *Refill[C]) Exclude(name string) {
	r.excluded[name] = true
	delete(r.sources, name)
	r.order = slices.DeleteFunc(r.order, func(other string) bool { return other == name })
	r.updateDone()
}

// Tick returns the queries that are due. alive reports whether a node appears to be running; the first query to a node is delayed until it
// does.
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

// countActive returns the number of sources that are sending, without those whose timeout has reached its maximum.
func (r *Refill[C]) countActive() int {
	count := 0
	for _, s := range r.sources {
		if s.state == sending && s.timeout < maxPageTimeout {
			count++
		}
	}
	return count
}

// query records a query for the next page of a source, or the repetition of one that timed out.
func (r *Refill[C]) query(now time.Duration, s *source[C]) {
	if s.outstanding {
		s.timeout = min(2*s.timeout, maxPageTimeout)
	}
	s.state = sending
	s.outstanding = true
	s.nextQueryAt = now + r.randomSource.Jitter(s.timeout)
}

// Expects reports whether a page from a node in the given incarnation is the one that was queried. If it is, the caller processes the
// content of the page and calls PageReceived. If the node has restarted during the transfer, Expects returns false and restarts the
// transfer from it.
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

// PageReceived records that the caller has processed a page for which Expects returned true. If stored is false, a part of the page could
// not be stored, and the page is queried again later.
func (r *Refill[C]) PageReceived(now time.Duration, from string, page *PageInfo[C], stored bool) {
	s := r.sources[from]
	s.outstanding = false
	if !stored {
		s.nextQueryAt = now + maxPageTimeout
		return
	}
	interval := r.cfg.PageInterval
	if s.cursor == page.Next {
		interval = minPageTimeout // the page brought nothing new: the source is waiting for its own disk
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

// finishPass handles the last page of a source: the source is complete, or is queried again from the start.
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

// updateDone sets done if all sources have sent all of their records.
func (r *Refill[C]) updateDone() {
	r.done = !slices.ContainsFunc(r.order, func(name string) bool { return r.sources[name].state != complete })
}

// Covers reports whether all named nodes have sent all of their records, so that the history of the keys that they share with this node is
// complete.
func (r *Refill[C]) Covers(others []string) bool {
	return !slices.ContainsFunc(others, func(name string) bool {
		s := r.sources[name]
		return !r.excluded[name] && (s == nil || s.state != complete)
	})
}

// Done reports whether all sources have sent all of their records.
func (r *Refill[C]) Done() bool { return r.done }

// Progress is the progress of the transfer from one node.
type Progress struct {
	Name string `json:"name"`
	// State is "not asked", "tells" (sending), "silent" (no answer within the timeout), "not whole" (all records sent, but the source has
	// lost history itself) or "told" (all records sent).
	State string `json:"state"`
	Keys  int    `json:"keys"`  // number of keys received
	Pages int    `json:"pages"` // number of pages received
}

// Progress returns the progress of each source, in the order of their first queries.
func (r *Refill[C]) Progress() []Progress {
	var all []Progress
	for _, name := range r.order {
		s := r.sources[name]
		all = append(all, Progress{Name: name, State: s.progressState(), Keys: s.keys, Pages: s.pages})
	}
	return all
}

// progressState returns the value of Progress.State for the source.
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
