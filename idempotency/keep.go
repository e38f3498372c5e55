// Package idempotency remembers what must not run twice, and what came of it, over restarts: each key passes from intent by begun to a
// result, a failure or doubt, and ages into a print. It is a state machine without I/O, clock or goroutine: calls return
// what may happen, Writes what is to be put on the disk in order, and only what is durable lets anything happen.
//
// What is on the disk stands in segments, one after the other. A key's intent and end are records of the segment that was
// open then. What ended first ages first, so segments age from the front: one of which every key has aged is replaced by the prints
// of its keys, and those are dropped when nobody repeats so old a req any more.
package idempotency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Key is a print of what identifies a req: handler and customer, a field, the body; whichever the operator names.
type Key [16]byte

// Config bounds what is remembered.
type Config struct {
	MaxEntries     int           // keys with their results; the oldest that have ended age first
	MaxBytes       int           // of all results
	MaxResultBytes int           // bytes of one result; a longer one is not kept
	ResultTTL      time.Duration // of a result after its end
	RetryHorizon   time.Duration // callers repeat a req for so long after they first made it, at most
	MaxSegments    int           // at a time; with all in use and none past the horizon nothing is begun
	KeysPerSegment int           // keys of a segment
	SegmentBytes   int           // of a segment's records
}

const (
	falseHits   = 1e-5 // share of fresh keys that meet a print of another, of each segment, and are not run
	spans       = 8    // segments that a horizon is cut into at least: what is dropped is old for so much of it
	raiseMost   = 1e4  // lives that are counted at once: a number beyond is no life's
	recordBytes = 40   // of a record beside its result: what counts against SegmentBytes
)

// EntryKind is what a Write says.
type EntryKind uint8

// The kinds. The numbers stand in files.
const (
	EntryIntent          EntryKind = 1  // it may be begun from now on
	EntryResult          EntryKind = 2  // it ran, and this is its answer
	EntryFailed          EntryKind = 3  // it ran or may have, and failed
	EntryNeverRan        EntryKind = 4  // it is proved never to have run: a repeat is fresh
	EntryResultTooLong   EntryKind = 5  // it ran, and its answer is too long to be kept
	EntrySegmentOpened   EntryKind = 6  // a segment begins
	EntryIncarnation     EntryKind = 7  // a process begins
	EntryHistoryAccepted EntryKind = 8  // an operator answers for it that all from before is known
	EntrySegmentDropped  EntryKind = 9  // the prints of a segment may go
	EntryHistoryLost     EntryKind = 11 // more was there than the disk had: what was made before that can't be proved fresh
	EntrySegmentRetired  EntryKind = 10 // all keys of a segment have aged: its prints take its place; no record
)

// LogEntry is one thing to be put on the disk, in the order given. All but Retire are records, numbered without a gap.
type LogEntry struct {
	Seq          uint64
	Kind         EntryKind
	Segment      uint64 // that it stands in; Retire: that it is about
	Subject      uint64 // Open: the oldest segment there is; Drop: the segment
	Key          Key
	At           time.Duration // since the start of 1970; never less than the one before
	Data         []byte        // Result
	Fingerprints *Fingerprints // Retire
}

// Fingerprints are what is left of a segment.
type Fingerprints struct {
	Segment     uint64
	LastSeq     uint64        // its last record's number
	From, Until time.Duration // of its records
	Keys        int
	LostBefore  time.Duration      // what was made before can't be proved fresh, as records in it or after it are lost; 0 none
	Accepted    bool               // an operator answered for all holes before that
	Filter      *bloom.BloomFilter // nil if none has aged; no longer written to
}

// Decision is what becomes of a req that arrives, or of those that waited.
type Decision uint8

// The verdicts.
const (
	Fresh          Decision = iota + 1 // nothing of it has run: it may be taken, or (who waited) come again
	Duplicate                          // a req with its key is remembered: Arrive says more
	Wait                               // its intent, or the end of its forerunner, is waited for
	Start                              // it may be begun: its intent is durable
	Completed                          // its own result is durable: it is answered
	Replay                             // answered with the first result
	OriginalFailed                     // answered as errored: its forerunner failed
	OutcomeUnknown                     // answered as errored: its forerunner may have run
	ResultExpired                      // answered as errored: its forerunner's result has aged out or was too long
	HistoryLost                        // answered as errored: nobody can tell whether it has run
	StoreFull                          // refused, with a time to return: what must be kept can't be
	StoreFailed                        // refused: the disk has failed, nothing can be kept
)

// Outcome is a verdict on a req.
type Outcome struct {
	ID       uint64
	Decision Decision
	Result   []byte // Done, Repeat
}

type state uint8

const (
	wanted  state = iota // its intent is not yet durable
	begun                // it runs
	ending               // its result is not yet durable
	ended                // it has a result, or failed
	doubted              // an intent without an end, after a restart
)

// entry is a remembered key. Millions of them are kept, so what only those in hand need stands apart.
type entry struct {
	state  state
	kind   EntryKind     // of its end
	at     time.Duration // of its end, or its intent in doubt
	result []byte
	began  *segment // where its intent stands
	over   *segment // where its end does; nil without one
	hand   *hand    // nil unless wanted, begun or ending
}

const late = math.MaxUint64 // stands for the req whose end turned up: nobody

type hand struct {
	seq     uint64   // of the record that is waited for
	first   uint64   // the req that is begun; 0 once it was withdrawn
	waiting []uint64 // repeats of it
	of      string   // its handler
}

type segment struct {
	Fingerprints
	bytes   int
	live    int  // entries that have a record in it; one with both counts twice
	retired bool // only the prints are left on the disk
	lost    bool // not even those
}

// Store is what is remembered. Make it with New.
type Store struct {
	cfg      Config
	entries  map[Key]*entry
	order    []Key            // ended ones, the oldest first; some may be gone
	of       map[Key]string   // handlers of those in doubt, where they are known
	loose    map[Key]struct{} // while loading: intents of the life that is read, without an end so far
	bytes    int
	doubts   int
	hands    int
	segments []*segment // the oldest first; the last takes records unless it is retired
	seq      uint64
	durable  uint64
	life     uint64
	now      time.Duration
	blind    time.Duration // what was made before can't be proved fresh; 0 all can
	failed   bool
	pending  []Key // those with a record that is waited for, in its order
	out      []LogEntry
	aged     uint64         // keys that stood in order before its first
	told     []ExpiredKeys  // prints of other stores, for what this one has lost
	proves   func(Key) bool // of a key about which something may be lost here: all of it has been told again
	refilled bool           // so of all keys
}

// New returns an empty store. Load, Hole and Restarted bring it to what the disk has; then it takes reqs.
func New(cfg Config) *Store {
	cfg.KeysPerSegment, cfg.MaxSegments = max(1, cfg.KeysPerSegment), max(2, cfg.MaxSegments)
	return &Store{cfg: cfg, entries: map[Key]*entry{}, loose: map[Key]struct{}{}, of: map[Key]string{}}
}

// clock goes forward only: a clock that was set back must not make anything younger.
func (s *Store) clock(now time.Duration) { s.now = max(s.now, now) }

// TakeEntries hands over what is to be put on the disk since the last call.
func (s *Store) TakeEntries() []LogEntry {
	out := s.out
	s.out = nil
	return out
}

// Stats tell what is kept.
type Stats struct {
	Incarnation    uint64        `json:"life"`
	Keys           int           `json:"keys"`     // with more than a print
	OutcomeUnknown int           `json:"in_doubt"` // of them those whose end is not known
	InFlight       int           `json:"in_hand"`  // and those that wait for the disk or run
	Bytes          int           `json:"bytes"`    // of results
	Fingerprints   int           `json:"prints"`   // keys of which only a print is left, in retired segments
	Segments       int           `json:"segments"`
	Since          time.Duration `json:"since"` // of the oldest segment, since 1970
	LostBefore     time.Duration `json:"blind"` // what was made before that can't be proved fresh; 0 all can
	Failed         bool          `json:"failed"`
}

// Stats gives them.
func (s *Store) Stats() Stats {
	t := Stats{
		Incarnation: s.life, Keys: len(s.entries), OutcomeUnknown: s.doubts, InFlight: s.hands, Bytes: s.bytes, Segments: len(s.segments),
		LostBefore: s.blind, Failed: s.failed,
	}
	for i, g := range s.segments {
		if i == 0 {
			t.Since = g.From
		}
		if g.retired {
			t.Fingerprints += g.Keys
		}
	}
	return t
}

// write puts a record into the open segment.
func (s *Store) write(w LogEntry) (*segment, uint64) {
	g := s.segments[len(s.segments)-1]
	s.seq++
	w.Seq, w.At, w.Segment, g.LastSeq = s.seq, s.now, g.Segment, s.seq
	s.out = append(s.out, w)
	return g, s.seq
}

// record puts one about a key into the open segment, and counts it there.
func (s *Store) record(kind EntryKind, key Key, data []byte) (*segment, uint64) {
	s.segments[len(s.segments)-1].add(kind, s.now, len(data))
	return s.write(LogEntry{Kind: kind, Key: key, Data: data})
}

func (g *segment) add(kind EntryKind, at time.Duration, data int) {
	g.bytes += recordBytes + data
	g.Until = max(g.Until, at)
	if kind == EntryIntent {
		g.Keys++
	}
}

// room makes sure that an intent can be kept: a place among the entries, and a segment that takes it.
func (s *Store) room() bool {
	if len(s.entries) >= s.cfg.MaxEntries && !s.ageOldest() {
		return false
	}
	if n := len(s.segments); n > 0 {
		if g := s.segments[n-1]; !g.retired && g.Keys < s.cfg.KeysPerSegment && g.bytes < s.cfg.SegmentBytes && s.now-g.From < s.cfg.RetryHorizon/spans {
			return true
		}
	}
	s.retire()
	return len(s.segments) < s.cfg.MaxSegments && s.open(0)
}

func (s *Store) open(after uint64) bool {
	if n := len(s.segments); n > 0 {
		after = max(after, s.segments[n-1].Segment)
	}
	number := after + 1
	s.segments = append(s.segments, &segment{Fingerprints: Fingerprints{Segment: number, From: s.now, Until: s.now}})
	s.write(LogEntry{Kind: EntrySegmentOpened, Subject: s.segments[0].Segment})
	return true
}

// retire ages what has ended long ago, replaces segments by their prints, and drops those that are past the horizon; both from
// the front. The open one stays.
func (s *Store) retire() {
	for s.oldest() != nil && s.now-s.oldest().at >= s.cfg.ResultTTL && s.ageOldest() {
	}
	if s.failed {
		return
	}
	for _, g := range s.segments[:max(0, len(s.segments)-1)] {
		if g.retired {
			continue
		}
		if g.live > 0 {
			break
		}
		g.retired = true
		s.out = append(s.out, LogEntry{Kind: EntrySegmentRetired, Segment: g.Segment, At: s.now, Fingerprints: &g.Fingerprints})
	}
	for len(s.segments) > 1 && s.segments[0].retired && s.now-s.segments[0].Until > s.cfg.RetryHorizon {
		s.write(LogEntry{Kind: EntrySegmentDropped, Subject: s.segments[0].Segment})
		s.segments = s.segments[1:]
	}
}

func (g *segment) filter(keys int) *bloom.BloomFilter {
	if g.Filter == nil {
		g.Filter = bloom.NewWithEstimates(uint(max(keys, g.Keys)), falseHits)
	}
	return g.Filter
}

// Peek says what will become of a req with that key when it is taken: Fresh, Known, or why it is not. made is when its caller
// first made it; 0 if that is not told: then it may be as old as the horizon.
func (s *Store) Peek(now, made time.Duration, key Key) Decision {
	s.clock(now)
	if s.entries[key] != nil {
		return Duplicate
	}
	oldest := s.now - s.cfg.RetryHorizon
	switch {
	case s.MayBeExpired(key), made > 0 && made < oldest:
		return ResultExpired
	case s.blind > 0 && max(made, oldest) <= s.blind && (s.proves == nil || !s.proves(key)):
		return HistoryLost
	case s.failed:
		return StoreFailed
	}
	return Fresh
}

// Reserve takes a req of a handler that is to be begun. It waits for its intent to be durable, or for the end of another with its key, or
// meets what that one left. The handler stands with the intent, for those who look at what is in doubt.
func (s *Store) Reserve(now, made time.Duration, key Key, of string, id uint64) Outcome {
	o := Outcome{ID: id, Decision: s.Peek(now, made, key)}
	switch o.Decision {
	case Fresh:
		if !s.room() {
			o.Decision = StoreFull
			break
		}
		g, seq := s.record(EntryIntent, key, []byte(of))
		g.live++
		s.entries[key] = &entry{at: s.now, began: g, hand: &hand{seq: seq, first: id, of: of}}
		s.hands++
		s.pending = append(s.pending, key)
		o.Decision = Wait
	case Duplicate:
		e := s.entries[key]
		if e.hand != nil {
			e.hand.waiting = append(e.hand.waiting, id)
			o.Decision = Wait
			break
		}
		o.Decision, o.Result = e.verdict(), e.result
	}
	return o
}

// PeekOutcome says what a req with that key would meet, and takes nothing: Fresh, Known where its forerunner is in hand, or what that one left.
func (s *Store) PeekOutcome(now, made time.Duration, key Key) Outcome {
	v := s.Peek(now, made, key)
	if e := s.entries[key]; e != nil && e.hand == nil {
		return Outcome{Decision: e.verdict(), Result: e.result}
	}
	return Outcome{Decision: v}
}

// MarkUnknown says that nobody will tell how the run of a key ended: it is as after a restart. Its end may still be told.
func (s *Store) MarkUnknown(now time.Duration, key Key) []Outcome {
	s.clock(now)
	if e := s.entries[key]; e != nil && e.hand != nil && e.state == begun {
		return s.doubt(key, e)
	}
	return nil
}

func (s *Store) doubt(key Key, e *entry) []Outcome {
	out := e.hand.tell(nil, OutcomeUnknown, nil)
	if e.hand.of != "" {
		s.of[key] = e.hand.of
	}
	e.state, e.hand, e.at = doubted, nil, s.now
	s.hands--
	s.doubts++
	s.order = append(s.order, key)
	return out
}

// AbandonInFlight says that whoever had keys in hand is no more: they are as after a restart, but for ends that are on their way to the disk.
func (s *Store) AbandonInFlight(now time.Duration) {
	s.clock(now)
	var keys []Key
	for key, e := range s.entries {
		if e.hand != nil && e.state != ending {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y Key) int { return slices.Compare(x[:], y[:]) })
	for _, key := range keys {
		s.doubt(key, s.entries[key])
	}
}

func (e *entry) verdict() Decision {
	switch {
	case e.state == doubted:
		return OutcomeUnknown
	case e.kind == EntryResult:
		return Replay
	case e.kind == EntryResultTooLong:
		return ResultExpired
	}
	return OriginalFailed
}

// MayBeExpired tells whether a key is among the prints of those that have aged, here or where it was told from; now and then one is that is not.
func (s *Store) MayBeExpired(key Key) bool {
	for _, g := range s.segments {
		if g.Filter != nil && g.Filter.Test(key[:]) {
			return true
		}
	}
	return slices.ContainsFunc(s.told, func(a ExpiredKeys) bool { return a.Filter.Test(key[:]) })
}

// Withdraw says that a req no longer waits: its caller is gone, or was answered otherwise. One that was not yet begun makes
// room for the next that waits, or leaves its key fresh.
func (s *Store) Withdraw(now time.Duration, key Key, id uint64) {
	s.clock(now)
	e := s.entries[key]
	if e == nil || e.hand == nil {
		return
	}
	h := e.hand
	switch {
	case h.first != id:
		h.waiting = slices.DeleteFunc(h.waiting, func(x uint64) bool { return x == id })
	case e.state != wanted:
		h.first = 0
	case len(h.waiting) > 0:
		h.first, h.waiting = h.waiting[0], h.waiting[1:]
	default:
		s.never(key, e)
	}
}

// never forgets a key that is proved not to have run.
func (s *Store) never(key Key, e *entry) {
	if !s.failed {
		s.record(EntryNeverRan, key, nil)
	}
	s.forget(key, e)
}

// forget drops one in hand.
func (s *Store) forget(key Key, e *entry) {
	e.began.live--
	s.hands--
	delete(s.entries, key)
}

// Finish says how the run of a key ended, and what those hear that wait for it. A good one's answer leaves when its record is
// durable (Done, from Durable); the others' at once: in doubt is what a repeat would meet without their record.
func (s *Store) Finish(now time.Duration, key Key, kind EntryKind, result []byte) []Outcome {
	s.clock(now)
	e := s.entries[key]
	s.Resume(key, late) // if it is in doubt, it turns up after all
	if e == nil || e.hand == nil || e.state == ending {
		return nil
	}
	if kind == EntryNeverRan {
		out := e.hand.tell(nil, Fresh, nil)
		s.never(key, e)
		return out
	}
	if kind == EntryResult && len(result) > s.cfg.MaxResultBytes {
		kind = EntryResultTooLong
	}
	e.kind, e.result = kind, nil
	if kind == EntryResult || kind == EntryResultTooLong { // its first caller gets it however long it is
		e.result = append([]byte(nil), result...)
	}
	if s.failed { // nothing more can be kept: who waits hears so, and it stays as it is for those that come
		return s.end(key, e, kind != EntryFailed)
	}
	data := e.result
	if kind == EntryResultTooLong {
		data = nil
	}
	var seq uint64
	e.over, seq = s.record(kind, key, data)
	e.over.live++
	if kind == EntryFailed {
		return s.end(key, e, false)
	}
	e.state, e.hand.seq = ending, seq
	s.pending = append(s.pending, key)
	return nil
}

// tell gives all that wait a verdict.
func (h *hand) tell(out []Outcome, v Decision, result []byte) []Outcome {
	for _, id := range h.waiting {
		out = append(out, Outcome{id, v, result})
	}
	return out
}

// end ends a key: all that wait for it hear, and the first too if it is done.
func (s *Store) end(key Key, e *entry, done bool) (out []Outcome) {
	h := e.hand
	if done && h.first != 0 {
		out = append(out, Outcome{h.first, Completed, e.result})
	}
	out = h.tell(out, e.verdict(), e.result)
	if e.kind == EntryResultTooLong {
		e.result = nil
		for i := range out {
			if out[i].Decision != Completed {
				out[i].Result = nil
			}
		}
	}
	e.state, e.hand, e.at = ended, nil, s.now
	s.hands--
	s.keep(key, e)
	return out
}

// keep puts an entry that has ended among the others.
func (s *Store) keep(key Key, e *entry) {
	s.order = append(s.order, key)
	s.hold(e)
}

// hold counts the result of one that stands among the others, and ages the oldest while they are too many.
func (s *Store) hold(e *entry) {
	s.bytes += len(e.result)
	for s.bytes > s.cfg.MaxBytes && s.ageOldest() {
	}
}

// MarkDurable says that all up to that write is on the disk, and gives what may happen now.
func (s *Store) MarkDurable(seq uint64) (out []Outcome) {
	s.durable = max(s.durable, seq)
	for len(s.pending) > 0 {
		key := s.pending[0]
		e := s.entries[key]
		if e == nil || e.hand == nil || e.state == begun {
			s.pending = s.pending[1:]
			continue
		}
		if e.hand.seq > s.durable {
			return out
		}
		s.pending = s.pending[1:]
		if e.state == wanted {
			e.state = begun
			out = append(out, Outcome{ID: e.hand.first, Decision: Start})
			continue
		}
		out = append(out, s.end(key, e, true)...)
	}
	return out
}

// Sweep ages what has ended long ago, and lets go of segments.
func (s *Store) Sweep(now time.Duration) {
	s.clock(now)
	s.retire()
	s.told = slices.DeleteFunc(s.told, func(a ExpiredKeys) bool { return s.now-a.Until > s.cfg.RetryHorizon })
	if s.blind > 0 && s.now-s.cfg.RetryHorizon > s.blind {
		s.blind = 0
	}
}

// oldest is the entry that ages next; nil without one.
func (s *Store) oldest() *entry {
	for len(s.order) > 0 {
		if e := s.entries[s.order[0]]; e != nil && e.hand == nil {
			return e
		}
		s.drop() // it is gone
	}
	return nil
}

// ageOldest leaves of the key that ended first only its print, and tells whether there was one.
func (s *Store) ageOldest() bool {
	e := s.oldest()
	if e == nil {
		return false
	}
	key := s.order[0]
	s.drop()
	s.age(key, e)
	return true
}

func (s *Store) drop() {
	s.order = s.order[1:]
	s.aged++
}

func (s *Store) age(key Key, e *entry) {
	s.bytes -= len(e.result)
	if e.state == doubted {
		s.doubts--
		delete(s.of, key)
	}
	delete(s.entries, key)
	e.began.filter(s.cfg.KeysPerSegment).Add(key[:])
	e.began.live--
	if e.over != nil {
		e.over.live--
	}
}

// DiskFailed says that nothing more can be written. What waits for its intent was never begun and hears so; results whose
// record is lost are answered: their runs have ended, and a repeat meets the key as long as this process lives.
func (s *Store) DiskFailed() (out []Outcome) {
	s.failed, s.out = true, nil
	for _, key := range s.pending {
		e := s.entries[key]
		switch {
		case e == nil || e.hand == nil:
		case e.state == wanted:
			out = append(out, Outcome{ID: e.hand.first, Decision: StoreFailed})
			out = e.hand.tell(out, StoreFailed, nil)
			s.forget(key, e)
		case e.state == ending:
			out = append(out, s.end(key, e, true)...)
		}
	}
	s.pending = nil
	return out
}

// LoadFingerprints takes what an earlier life left of a segment, in its order among the others.
func (s *Store) LoadFingerprints(p Fingerprints) {
	s.clock(p.Until)
	s.segments = append(s.segments, &segment{Fingerprints: p, retired: true})
	if p.Accepted {
		s.blind = 0
	}
	s.blind = max(s.blind, p.LostBefore)
}

// LoadLostSegment takes a segment of which nothing can be read; Hole says how late that was.
func (s *Store) LoadLostSegment(number uint64) {
	s.segments = append(s.segments, &segment{Fingerprints: Fingerprints{Segment: number, From: s.now, Until: s.now}, retired: true, lost: true})
}

// LoadLostPrefix takes segments that should stand before all that were loaded, and are not there; what they had ended by then.
func (s *Store) LoadLostPrefix(from uint64, till time.Duration) {
	first := s.segments[0].Segment
	for n := first - 1; n >= max(1, from); n-- {
		g := &segment{Fingerprints: Fingerprints{Segment: n, From: till, Until: till, LostBefore: till}, retired: true, lost: true}
		s.segments = append([]*segment{g}, s.segments...)
	}
	s.blind = max(s.blind, till)
}

// Load takes a record that was written by an earlier life, in its order; Restarted ends them.
func (s *Store) Load(w LogEntry) {
	s.seq = max(s.seq, w.Seq)
	s.clock(w.At)
	if w.Kind == EntrySegmentOpened {
		s.segments = append(s.segments, &segment{Fingerprints: Fingerprints{Segment: w.Segment, LastSeq: w.Seq, From: w.At, Until: w.At}})
		return
	}
	if len(s.segments) == 0 {
		return
	}
	g := s.segments[len(s.segments)-1]
	g.LastSeq = w.Seq
	switch w.Kind {
	case EntryIncarnation:
		s.life++
		s.settle()
		return
	case EntrySegmentDropped:
		return
	case EntryHistoryAccepted:
		s.accept()
		return
	case EntryHistoryLost:
		s.AddHistoryLoss(w.At)
		return
	}
	g.add(w.Kind, w.At, len(w.Data))
	e := s.entries[w.Key]
	switch w.Kind {
	case EntryIntent:
		if e != nil {
			return // the record between was lost: what is known already is the safe side
		}
		if len(s.entries) >= s.cfg.MaxEntries { // more than the bounds of now
			s.ageOldest()
		}
		g.live++
		s.doubts++
		s.loose[w.Key] = struct{}{}
		if len(w.Data) > 0 {
			s.of[w.Key] = string(w.Data)
		}
		s.entries[w.Key] = &entry{state: doubted, at: w.At, began: g}
	case EntryResult, EntryResultTooLong, EntryFailed:
		if e == nil || e.state != doubted {
			return // it had aged, or the end of one that is lost
		}
		s.doubts--
		delete(s.loose, w.Key)
		delete(s.of, w.Key)
		e.state, e.kind, e.at, e.over = ended, w.Kind, w.At, g
		g.live++
		if w.Kind == EntryResult {
			e.result = slices.Clone(w.Data)
		}
		s.keep(w.Key, e)
	case EntryNeverRan:
		if e != nil && e.state == doubted {
			s.doubts--
			e.began.live--
			delete(s.loose, w.Key)
			delete(s.of, w.Key)
			delete(s.entries, w.Key)
		}
	}
}

// AddHistoryLoss says that records are missing or can't be read, the last of them no later than that: what was made before can't be
// proved fresh.
func (s *Store) AddHistoryLoss(till time.Duration) {
	s.blind = max(s.blind, till)
	for i := len(s.segments) - 1; i >= 0; i-- { // it lies in the last one, or in those before it that are lost
		g := s.segments[i]
		g.LostBefore = max(g.LostBefore, till)
		if !g.lost {
			break
		}
		g.Until = max(g.Until, till)
	}
}

// Forever is the end of a hole that nothing follows: it ends when the next life begins.
const Forever = time.Duration(math.MaxInt64)

// settle puts the intents of a life that is over, without an end, among what ages.
func (s *Store) settle() {
	doubts := slices.SortedFunc(maps.Keys(s.loose), func(x, y Key) int {
		return cmp.Or(cmp.Compare(s.entries[x].at, s.entries[y].at), slices.Compare(x[:], y[:]))
	})
	clear(s.loose)
	s.order = append(s.order, doubts...)
}

// FinishLoading ends loading: intents without an end are in doubt, and age like the others. A new life begins. Where records
// that have been lost may follow the last ones, fresh has a new segment opened; it comes after that one.
func (s *Store) FinishLoading(now time.Duration, fresh bool, after uint64) {
	s.clock(now)
	s.blind = min(s.blind, s.now)
	for _, g := range s.segments {
		g.LostBefore, g.Until = min(g.LostBefore, s.now), min(g.Until, s.now)
	}
	s.settle()
	s.durable = s.seq
	if n := len(s.segments); n == 0 || fresh || s.segments[n-1].retired {
		s.open(after)
	}
	s.life++
	s.write(LogEntry{Kind: EntryIncarnation})
}

// MarkOutdated says that others know of more than this store had when this life began: what was made before now and is not remembered can't be
// proved fresh, in later lives neither.
func (s *Store) MarkOutdated(now time.Duration) {
	s.clock(now)
	s.AddHistoryLoss(s.now)
	s.refilled = false
	s.write(LogEntry{Kind: EntryHistoryLost})
}

// RaiseIncarnation has this life be numbered at least so. Numbers are counted by records, so it takes no more than it may write.
func (s *Store) RaiseIncarnation(life uint64) bool {
	if life > s.life+raiseMost {
		return false
	}
	for s.life < life {
		s.life++
		s.write(LogEntry{Kind: EntryIncarnation})
	}
	return true
}

// LastSeq is the number of the last record that is on the disk.
func (s *Store) LastSeq() uint64 { return s.durable }

// AcceptHistory says that an operator answers for what can't be known: all that is not remembered is fresh again.
func (s *Store) AcceptHistory(now time.Duration) {
	s.clock(now)
	s.accept()
	s.write(LogEntry{Kind: EntryHistoryAccepted})
}

func (s *Store) accept() {
	s.blind = 0
	g := s.segments[len(s.segments)-1]
	g.LostBefore, g.Accepted = 0, true
}

// Each calls f for each key that is remembered with more than a print, in no order.
func (s *Store) Each(f func(key Key, at time.Duration, state string, bytes int)) {
	for key, e := range s.entries {
		f(key, e.at, e.word(), len(e.result))
	}
}

func (e *entry) word() string {
	switch e.state {
	case ended:
		return e.kind.String()
	case doubted:
		return "in doubt"
	}
	return "in hand"
}

// String is the kind's word.
func (k EntryKind) String() string {
	words := [...]string{
		EntryIntent: "intent", EntryResult: "result", EntryFailed: "failed", EntryNeverRan: "never", EntryResultTooLong: "too long", EntrySegmentOpened: "open", EntryIncarnation: "life",
		EntryHistoryAccepted: "accepted", EntrySegmentDropped: "drop", EntrySegmentRetired: "retire", EntryHistoryLost: "gap",
	}
	if int(k) >= len(words) || words[k] == "" {
		return "unknown"
	}
	return words[k]
}

// Original is the req in hand that a repeat of a key would wait for, 0 if there is none.
func (s *Store) Original(key Key) uint64 {
	if e := s.entries[key]; e != nil && e.hand != nil {
		return e.hand.first
	}
	return 0
}
