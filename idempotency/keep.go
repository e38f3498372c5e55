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
	Entries      int           // keys with their results; the oldest that have ended age first
	Bytes        int           // of all results
	ResultMost   int           // bytes of one result; a longer one is not kept
	Lifetime     time.Duration // of a result after its end
	Horizon      time.Duration // callers repeat a req for so long after they first made it, at most
	Segments     int           // at a time; with all in use and none past the horizon nothing is begun
	Prints       int           // keys of a segment
	SegmentBytes int           // of a segment's records
}

const (
	falseHits   = 1e-5 // share of fresh keys that meet a print of another, of each segment, and are not run
	spans       = 8    // segments that a horizon is cut into at least: what is dropped is old for so much of it
	raiseMost   = 1e4  // lives that are counted at once: a number beyond is no life's
	recordBytes = 40   // of a record beside its result: what counts against SegmentBytes
)

// Kind is what a Write says.
type Kind uint8

// The kinds. The numbers stand in files.
const (
	Intent   Kind = 1  // it may be begun from now on
	Result   Kind = 2  // it ran, and this is its answer
	Failed   Kind = 3  // it ran or may have, and failed
	Never    Kind = 4  // it is proved never to have run: a repeat is fresh
	Long     Kind = 5  // it ran, and its answer is too long to be kept
	Open     Kind = 6  // a segment begins
	Life     Kind = 7  // a process begins
	Accepted Kind = 8  // an operator answers for it that all from before is known
	Drop     Kind = 9  // the prints of a segment may go
	Gap      Kind = 11 // more was there than the disk had: what was made before that can't be proved fresh
	Retire   Kind = 10 // all keys of a segment have aged: its prints take its place; no record
)

// Write is one thing to be put on the disk, in the order given. All but Retire are records, numbered without a gap.
type Write struct {
	Seq     uint64
	Kind    Kind
	Segment uint64 // that it stands in; Retire: that it is about
	About   uint64 // Open: the oldest segment there is; Drop: the segment
	Key     Key
	At      time.Duration // since the start of 1970; never less than the one before
	Data    []byte        // Result
	Prints  *Prints       // Retire
}

// Prints are what is left of a segment.
type Prints struct {
	Number     uint64
	Last       uint64        // its last record's number
	From, Till time.Duration // of its records
	Keys       int
	Hole       time.Duration      // what was made before can't be proved fresh, as records in it or after it are lost; 0 none
	Accepted   bool               // an operator answered for all holes before that
	Filter     *bloom.BloomFilter // nil if none has aged; no longer written to
}

// Verdict is what becomes of a req that arrives, or of those that waited.
type Verdict uint8

// The verdicts.
const (
	Fresh     Verdict = iota + 1 // nothing of it has run: it may be taken, or (who waited) come again
	Known                        // a req with its key is remembered: Arrive says more
	Wait                         // its intent, or the end of its forerunner, is waited for
	Begin                        // it may be begun: its intent is durable
	Done                         // its own result is durable: it is answered
	Repeat                       // answered with the first result
	Broken                       // answered as errored: its forerunner failed
	InDoubt                      // answered as errored: its forerunner may have run
	TooLate                      // answered as errored: its forerunner's result has aged out or was too long
	Blind                        // answered as errored: nobody can tell whether it has run
	NoRoom                       // refused, with a time to return: what must be kept can't be
	Unguarded                    // refused: the disk has failed, nothing can be kept
)

// Outcome is a verdict on a req.
type Outcome struct {
	ID      uint64
	Verdict Verdict
	Result  []byte // Done, Repeat
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
	kind   Kind          // of its end
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
	Prints
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
	out      []Write
	aged     uint64         // keys that stood in order before its first
	told     []Aged         // prints of other stores, for what this one has lost
	proves   func(Key) bool // of a key about which something may be lost here: all of it has been told again
	refilled bool           // so of all keys
}

// New returns an empty store. Load, Hole and Restarted bring it to what the disk has; then it takes reqs.
func New(cfg Config) *Store {
	cfg.Prints, cfg.Segments = max(1, cfg.Prints), max(2, cfg.Segments)
	return &Store{cfg: cfg, entries: map[Key]*entry{}, loose: map[Key]struct{}{}, of: map[Key]string{}}
}

// clock goes forward only: a clock that was set back must not make anything younger.
func (s *Store) clock(now time.Duration) { s.now = max(s.now, now) }

// Writes hands over what is to be put on the disk since the last call.
func (s *Store) Writes() []Write {
	out := s.out
	s.out = nil
	return out
}

// Stats tell what is kept.
type Stats struct {
	Life     uint64        `json:"life"`
	Keys     int           `json:"keys"`     // with more than a print
	InDoubt  int           `json:"in_doubt"` // of them those whose end is not known
	InHand   int           `json:"in_hand"`  // and those that wait for the disk or run
	Bytes    int           `json:"bytes"`    // of results
	Prints   int           `json:"prints"`   // keys of which only a print is left, in retired segments
	Segments int           `json:"segments"`
	Since    time.Duration `json:"since"` // of the oldest segment, since 1970
	Blind    time.Duration `json:"blind"` // what was made before that can't be proved fresh; 0 all can
	Failed   bool          `json:"failed"`
}

// Stats gives them.
func (s *Store) Stats() Stats {
	t := Stats{Life: s.life, Keys: len(s.entries), InDoubt: s.doubts, InHand: s.hands, Bytes: s.bytes, Segments: len(s.segments),
		Blind: s.blind, Failed: s.failed}
	for i, g := range s.segments {
		if i == 0 {
			t.Since = g.From
		}
		if g.retired {
			t.Prints += g.Keys
		}
	}
	return t
}

// write puts a record into the open segment.
func (s *Store) write(w Write) (*segment, uint64) {
	g := s.segments[len(s.segments)-1]
	s.seq++
	w.Seq, w.At, w.Segment, g.Last = s.seq, s.now, g.Number, s.seq
	s.out = append(s.out, w)
	return g, s.seq
}

// record puts one about a key into the open segment, and counts it there.
func (s *Store) record(kind Kind, key Key, data []byte) (*segment, uint64) {
	s.segments[len(s.segments)-1].add(kind, s.now, len(data))
	return s.write(Write{Kind: kind, Key: key, Data: data})
}

func (g *segment) add(kind Kind, at time.Duration, data int) {
	g.bytes += recordBytes + data
	g.Till = max(g.Till, at)
	if kind == Intent {
		g.Keys++
	}
}

// room makes sure that an intent can be kept: a place among the entries, and a segment that takes it.
func (s *Store) room() bool {
	if len(s.entries) >= s.cfg.Entries && !s.ageOldest() {
		return false
	}
	if n := len(s.segments); n > 0 {
		if g := s.segments[n-1]; !g.retired && g.Keys < s.cfg.Prints && g.bytes < s.cfg.SegmentBytes && s.now-g.From < s.cfg.Horizon/spans {
			return true
		}
	}
	s.retire()
	return len(s.segments) < s.cfg.Segments && s.open(0)
}

func (s *Store) open(after uint64) bool {
	if n := len(s.segments); n > 0 {
		after = max(after, s.segments[n-1].Number)
	}
	number := after + 1
	s.segments = append(s.segments, &segment{Prints: Prints{Number: number, From: s.now, Till: s.now}})
	s.write(Write{Kind: Open, About: s.segments[0].Number})
	return true
}

// retire ages what has ended long ago, replaces segments by their prints, and drops those that are past the horizon; both from
// the front. The open one stays.
func (s *Store) retire() {
	for s.oldest() != nil && s.now-s.oldest().at >= s.cfg.Lifetime && s.ageOldest() {
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
		s.out = append(s.out, Write{Kind: Retire, Segment: g.Number, At: s.now, Prints: &g.Prints})
	}
	for len(s.segments) > 1 && s.segments[0].retired && s.now-s.segments[0].Till > s.cfg.Horizon {
		s.write(Write{Kind: Drop, About: s.segments[0].Number})
		s.segments = s.segments[1:]
	}
}

func (g *segment) filter(keys int) *bloom.BloomFilter {
	if g.Filter == nil {
		g.Filter = bloom.NewWithEstimates(uint(max(keys, g.Keys)), falseHits)
	}
	return g.Filter
}

// Look says what will become of a req with that key when it is taken: Fresh, Known, or why it is not. made is when its caller
// first made it; 0 if that is not told: then it may be as old as the horizon.
func (s *Store) Look(now, made time.Duration, key Key) Verdict {
	s.clock(now)
	if s.entries[key] != nil {
		return Known
	}
	oldest := s.now - s.cfg.Horizon
	switch {
	case s.Printed(key), made > 0 && made < oldest:
		return TooLate
	case s.blind > 0 && max(made, oldest) <= s.blind && (s.proves == nil || !s.proves(key)):
		return Blind
	case s.failed:
		return Unguarded
	}
	return Fresh
}

// Arrive takes a req of a handler that is to be begun. It waits for its intent to be durable, or for the end of another with its key, or
// meets what that one left. The handler stands with the intent, for those who look at what is in doubt.
func (s *Store) Arrive(now, made time.Duration, key Key, of string, id uint64) Outcome {
	o := Outcome{ID: id, Verdict: s.Look(now, made, key)}
	switch o.Verdict {
	case Fresh:
		if !s.room() {
			o.Verdict = NoRoom
			break
		}
		g, seq := s.record(Intent, key, []byte(of))
		g.live++
		s.entries[key] = &entry{at: s.now, began: g, hand: &hand{seq: seq, first: id, of: of}}
		s.hands++
		s.pending = append(s.pending, key)
		o.Verdict = Wait
	case Known:
		e := s.entries[key]
		if e.hand != nil {
			e.hand.waiting = append(e.hand.waiting, id)
			o.Verdict = Wait
			break
		}
		o.Verdict, o.Result = e.verdict(), e.result
	}
	return o
}

// Meet says what a req with that key would meet, and takes nothing: Fresh, Known where its forerunner is in hand, or what that one left.
func (s *Store) Meet(now, made time.Duration, key Key) Outcome {
	v := s.Look(now, made, key)
	if e := s.entries[key]; e != nil && e.hand == nil {
		return Outcome{Verdict: e.verdict(), Result: e.result}
	}
	return Outcome{Verdict: v}
}

// Doubt says that nobody will tell how the run of a key ended: it is as after a restart. Its end may still be told.
func (s *Store) Doubt(now time.Duration, key Key) []Outcome {
	s.clock(now)
	if e := s.entries[key]; e != nil && e.hand != nil && e.state == begun {
		return s.doubt(key, e)
	}
	return nil
}

func (s *Store) doubt(key Key, e *entry) []Outcome {
	out := e.hand.tell(nil, InDoubt, nil)
	if e.hand.of != "" {
		s.of[key] = e.hand.of
	}
	e.state, e.hand, e.at = doubted, nil, s.now
	s.hands--
	s.doubts++
	s.order = append(s.order, key)
	return out
}

// Forsake says that whoever had keys in hand is no more: they are as after a restart, but for ends that are on their way to the disk.
func (s *Store) Forsake(now time.Duration) {
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

func (e *entry) verdict() Verdict {
	switch {
	case e.state == doubted:
		return InDoubt
	case e.kind == Result:
		return Repeat
	case e.kind == Long:
		return TooLate
	}
	return Broken
}

// Printed tells whether a key is among the prints of those that have aged, here or where it was told from; now and then one is that is not.
func (s *Store) Printed(key Key) bool {
	for _, g := range s.segments {
		if g.Filter != nil && g.Filter.Test(key[:]) {
			return true
		}
	}
	return slices.ContainsFunc(s.told, func(a Aged) bool { return a.Filter.Test(key[:]) })
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
		s.record(Never, key, nil)
	}
	s.forget(key, e)
}

// forget drops one in hand.
func (s *Store) forget(key Key, e *entry) {
	e.began.live--
	s.hands--
	delete(s.entries, key)
}

// Ended says how the run of a key ended, and what those hear that wait for it. A good one's answer leaves when its record is
// durable (Done, from Durable); the others' at once: in doubt is what a repeat would meet without their record.
func (s *Store) Ended(now time.Duration, key Key, kind Kind, result []byte) []Outcome {
	s.clock(now)
	e := s.entries[key]
	s.Resume(key, late) // if it is in doubt, it turns up after all
	if e == nil || e.hand == nil || e.state == ending {
		return nil
	}
	if kind == Never {
		out := e.hand.tell(nil, Fresh, nil)
		s.never(key, e)
		return out
	}
	if kind == Result && len(result) > s.cfg.ResultMost {
		kind = Long
	}
	e.kind, e.result = kind, nil
	if kind == Result || kind == Long { // its first caller gets it however long it is
		e.result = append([]byte(nil), result...)
	}
	if s.failed { // nothing more can be kept: who waits hears so, and it stays as it is for those that come
		return s.end(key, e, kind != Failed)
	}
	data := e.result
	if kind == Long {
		data = nil
	}
	var seq uint64
	e.over, seq = s.record(kind, key, data)
	e.over.live++
	if kind == Failed {
		return s.end(key, e, false)
	}
	e.state, e.hand.seq = ending, seq
	s.pending = append(s.pending, key)
	return nil
}

// tell gives all that wait a verdict.
func (h *hand) tell(out []Outcome, v Verdict, result []byte) []Outcome {
	for _, id := range h.waiting {
		out = append(out, Outcome{id, v, result})
	}
	return out
}

// end ends a key: all that wait for it hear, and the first too if it is done.
func (s *Store) end(key Key, e *entry, done bool) (out []Outcome) {
	h := e.hand
	if done && h.first != 0 {
		out = append(out, Outcome{h.first, Done, e.result})
	}
	out = h.tell(out, e.verdict(), e.result)
	if e.kind == Long {
		e.result = nil
		for i := range out {
			if out[i].Verdict != Done {
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
	for s.bytes > s.cfg.Bytes && s.ageOldest() {
	}
}

// Durable says that all up to that write is on the disk, and gives what may happen now.
func (s *Store) Durable(seq uint64) (out []Outcome) {
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
			out = append(out, Outcome{ID: e.hand.first, Verdict: Begin})
			continue
		}
		out = append(out, s.end(key, e, true)...)
	}
	return out
}

// Tidy ages what has ended long ago, and lets go of segments.
func (s *Store) Tidy(now time.Duration) {
	s.clock(now)
	s.retire()
	s.told = slices.DeleteFunc(s.told, func(a Aged) bool { return s.now-a.Till > s.cfg.Horizon })
	if s.blind > 0 && s.now-s.cfg.Horizon > s.blind {
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
	e.began.filter(s.cfg.Prints).Add(key[:])
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
			out = append(out, Outcome{ID: e.hand.first, Verdict: Unguarded})
			out = e.hand.tell(out, Unguarded, nil)
			s.forget(key, e)
		case e.state == ending:
			out = append(out, s.end(key, e, true)...)
		}
	}
	s.pending = nil
	return out
}

// LoadPrints takes what an earlier life left of a segment, in its order among the others.
func (s *Store) LoadPrints(p Prints) {
	s.clock(p.Till)
	s.segments = append(s.segments, &segment{Prints: p, retired: true})
	if p.Accepted {
		s.blind = 0
	}
	s.blind = max(s.blind, p.Hole)
}

// LoadLost takes a segment of which nothing can be read; Hole says how late that was.
func (s *Store) LoadLost(number uint64) {
	s.segments = append(s.segments, &segment{Prints: Prints{Number: number, From: s.now, Till: s.now}, retired: true, lost: true})
}

// LostBefore takes segments that should stand before all that were loaded, and are not there; what they had ended by then.
func (s *Store) LostBefore(from uint64, till time.Duration) {
	first := s.segments[0].Number
	for n := first - 1; n >= max(1, from); n-- {
		g := &segment{Prints: Prints{Number: n, From: till, Till: till, Hole: till}, retired: true, lost: true}
		s.segments = append([]*segment{g}, s.segments...)
	}
	s.blind = max(s.blind, till)
}

// Load takes a record that was written by an earlier life, in its order; Restarted ends them.
func (s *Store) Load(w Write) {
	s.seq = max(s.seq, w.Seq)
	s.clock(w.At)
	if w.Kind == Open {
		s.segments = append(s.segments, &segment{Prints: Prints{Number: w.Segment, Last: w.Seq, From: w.At, Till: w.At}})
		return
	}
	if len(s.segments) == 0 {
		return
	}
	g := s.segments[len(s.segments)-1]
	g.Last = w.Seq
	switch w.Kind {
	case Life:
		s.life++
		s.settle()
		return
	case Drop:
		return
	case Accepted:
		s.accept()
		return
	case Gap:
		s.Hole(w.At)
		return
	}
	g.add(w.Kind, w.At, len(w.Data))
	e := s.entries[w.Key]
	switch w.Kind {
	case Intent:
		if e != nil {
			return // the record between was lost: what is known already is the safe side
		}
		if len(s.entries) >= s.cfg.Entries { // more than the bounds of now
			s.ageOldest()
		}
		g.live++
		s.doubts++
		s.loose[w.Key] = struct{}{}
		if len(w.Data) > 0 {
			s.of[w.Key] = string(w.Data)
		}
		s.entries[w.Key] = &entry{state: doubted, at: w.At, began: g}
	case Result, Long, Failed:
		if e == nil || e.state != doubted {
			return // it had aged, or the end of one that is lost
		}
		s.doubts--
		delete(s.loose, w.Key)
		delete(s.of, w.Key)
		e.state, e.kind, e.at, e.over = ended, w.Kind, w.At, g
		g.live++
		if w.Kind == Result {
			e.result = slices.Clone(w.Data)
		}
		s.keep(w.Key, e)
	case Never:
		if e != nil && e.state == doubted {
			s.doubts--
			e.began.live--
			delete(s.loose, w.Key)
			delete(s.of, w.Key)
			delete(s.entries, w.Key)
		}
	}
}

// Hole says that records are missing or can't be read, the last of them no later than that: what was made before can't be
// proved fresh.
func (s *Store) Hole(till time.Duration) {
	s.blind = max(s.blind, till)
	for i := len(s.segments) - 1; i >= 0; i-- { // it lies in the last one, or in those before it that are lost
		g := s.segments[i]
		g.Hole = max(g.Hole, till)
		if !g.lost {
			break
		}
		g.Till = max(g.Till, till)
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

// Restarted ends loading: intents without an end are in doubt, and age like the others. A new life begins. Where records
// that have been lost may follow the last ones, fresh has a new segment opened; it comes after that one.
func (s *Store) Restarted(now time.Duration, fresh bool, after uint64) {
	s.clock(now)
	s.blind = min(s.blind, s.now)
	for _, g := range s.segments {
		g.Hole, g.Till = min(g.Hole, s.now), min(g.Till, s.now)
	}
	s.settle()
	s.durable = s.seq
	if n := len(s.segments); n == 0 || fresh || s.segments[n-1].retired {
		s.open(after)
	}
	s.life++
	s.write(Write{Kind: Life})
}

// Older says that others know of more than this store had when this life began: what was made before now and is not remembered can't be
// proved fresh, in later lives neither.
func (s *Store) Older(now time.Duration) {
	s.clock(now)
	s.Hole(s.now)
	s.refilled = false
	s.write(Write{Kind: Gap})
}

// Raise has this life be numbered at least so. Numbers are counted by records, so it takes no more than it may write.
func (s *Store) Raise(life uint64) bool {
	if life > s.life+raiseMost {
		return false
	}
	for s.life < life {
		s.life++
		s.write(Write{Kind: Life})
	}
	return true
}

// Last is the number of the last record that is on the disk.
func (s *Store) Last() uint64 { return s.durable }

// Accept says that an operator answers for what can't be known: all that is not remembered is fresh again.
func (s *Store) Accept(now time.Duration) {
	s.clock(now)
	s.accept()
	s.write(Write{Kind: Accepted})
}

func (s *Store) accept() {
	s.blind = 0
	g := s.segments[len(s.segments)-1]
	g.Hole, g.Accepted = 0, true
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
func (k Kind) String() string {
	words := [...]string{Intent: "intent", Result: "result", Failed: "failed", Never: "never", Long: "too long", Open: "open", Life: "life",
		Accepted: "accepted", Drop: "drop", Retire: "retire", Gap: "gap"}
	if int(k) >= len(words) || words[k] == "" {
		return "unknown"
	}
	return words[k]
}

// Forerunner is the req in hand that a repeat of a key would wait for, 0 if there is none.
func (s *Store) Forerunner(key Key) uint64 {
	if e := s.entries[key]; e != nil && e.hand != nil {
		return e.hand.first
	}
	return 0
}
