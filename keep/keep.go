// Package keep remembers what must not run twice, and what came of it, over restarts: each key passes from intent by begun to a
// result, a failure or doubt, and ages into a print. It is a state machine without I/O, clock or goroutine: calls return
// what is to be written and what may happen, and only what is durable lets anything happen.
package keep

import (
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Key is a print of what identifies a req: handler and customer, a field, the body; whichever the operator names.
type Key [16]byte

// Config bounds what is remembered.
type Config struct {
	Entries  int           // keys with their results; the oldest that have ended age first
	Bytes    int           // of results
	Lifetime time.Duration // of a result after its end
	Epoch    time.Duration // of one set of prints
	Epochs   int           // sets kept; what was made before the oldest can't be proved fresh
	Prints   uint          // a set is made for so many; more only make false hits likelier, which are safe
}

const falseHits = 1e-4 // share of fresh keys that meet a print of another and are not run

// Kind is what a Record says.
type Kind uint8

// The records. The numbers stand in files.
const (
	Intent Kind = iota + 1 // it may be begun from now on
	Result                 // it ran, and this is its answer
	Failed                 // it ran or may have, and failed
	Never                  // it is proved never to have run: a repeat is fresh
	Aged                   // only its print is left
)

// Record is what is to be written, in the order of Seq.
type Record struct {
	Seq    uint64
	Kind   Kind
	Key    Key
	At     time.Duration // since the start of 1970; never less than the one before
	Result []byte
}

// Verdict is what becomes of a req that arrives, or of those that waited.
type Verdict uint8

// The verdicts.
const (
	Wait      Verdict = iota + 1 // its intent, or the end of its forerunner, is waited for
	Begin                        // it may be begun: its intent is durable
	Repeat                       // answered with the first result
	Broken                       // answered as errored: its forerunner failed
	InDoubt                      // answered as errored: its forerunner may have run
	TooLate                      // answered as errored: its forerunner's result has aged out, or nobody can tell
	NoRoom                       // refused, with a time to return: what must be kept can't be
	Unguarded                    // refused: the disk has failed, nothing can be kept
)

// Outcome is a verdict on a req that waited.
type Outcome struct {
	ID      uint64
	Verdict Verdict
	Result  []byte // Repeat
}

type state uint8

const (
	wanted  state = iota // its intent is not yet durable
	begun                // it runs
	ending               // its end is not yet durable
	ended                // it has a result, or failed
	doubted              // an intent without an end, after a restart
)

type entry struct {
	state   state
	seq     uint64 // of the record that is waited for
	at      time.Duration
	kind    Kind // of its end
	result  []byte
	first   uint64   // the req that is begun
	waiting []uint64 // repeats of it
}

type epoch struct {
	from   time.Duration
	prints *bloom.BloomFilter
}

// Store is what is remembered. Make it with New.
type Store struct {
	cfg     Config
	entries map[Key]*entry
	order   []Key // ended ones, the oldest first; some may be gone
	bytes   int
	epochs  []epoch
	seq     uint64
	durable uint64
	now     time.Duration
	failed  bool
	pending []Key // those with a record that is not yet durable, in its order
	out     []Record
}

// New returns an empty store at that time of day.
func New(cfg Config, now time.Duration) *Store {
	s := &Store{cfg: cfg, entries: map[Key]*entry{}}
	s.clock(now)
	return s
}

// clock goes forward only: a clock that was set back must not make anything younger.
func (s *Store) clock(now time.Duration) {
	s.now = max(s.now, now)
	if n := len(s.epochs); n == 0 || s.now >= s.epochs[n-1].from+s.cfg.Epoch {
		s.epochs = append(s.epochs, epoch{s.now, bloom.NewWithEstimates(s.cfg.Prints, falseHits)})
		if len(s.epochs) > s.cfg.Epochs {
			s.epochs = s.epochs[1:]
		}
	}
}

// Horizon is the time before which nothing can be proved fresh.
func (s *Store) Horizon() time.Duration { return s.epochs[0].from }

// Records hands over what is to be written since the last call. The order is that of Seq.
func (s *Store) Records() []Record {
	out := s.out
	s.out = nil
	return out
}

// Len is how many keys are remembered with more than a print, Bytes how long their results are.
func (s *Store) Len() int   { return len(s.entries) }
func (s *Store) Bytes() int { return s.bytes }

func (s *Store) write(kind Kind, key Key, result []byte) uint64 {
	s.seq++
	s.out = append(s.out, Record{s.seq, kind, key, s.now, result})
	return s.seq
}

// Arrive says what becomes of a req with that key. made is when its caller first made it, if that is told; else when it came.
func (s *Store) Arrive(now, made time.Duration, key Key, id uint64) Outcome {
	s.clock(now)
	o := Outcome{ID: id}
	e := s.entries[key]
	switch {
	case e == nil && s.printed(key), e == nil && made < s.Horizon():
		o.Verdict = TooLate
	case e == nil && s.failed:
		o.Verdict = Unguarded
	case e == nil:
		if len(s.entries) >= s.cfg.Entries && !s.ageOldest() {
			o.Verdict = NoRoom
			break
		}
		s.entries[key] = &entry{seq: s.write(Intent, key, nil), at: s.now, first: id}
		s.pending = append(s.pending, key)
		o.Verdict = Wait
	case e.state == doubted:
		o.Verdict = InDoubt
	case e.state == ended:
		o.Verdict, o.Result = e.verdict(), e.result
	default:
		e.waiting = append(e.waiting, id)
		o.Verdict = Wait
	}
	return o
}

func (e *entry) verdict() Verdict {
	if e.kind == Result {
		return Repeat
	}
	return Broken
}

func (s *Store) printed(key Key) bool {
	for _, p := range s.epochs {
		if p.prints.Test(key[:]) {
			return true
		}
	}
	return false
}

// Ended says how the run of a key ended. The answer of a good one leaves when its record is durable.
func (s *Store) Ended(now time.Duration, key Key, kind Kind, result []byte) []Outcome {
	s.clock(now)
	e := s.entries[key]
	if e == nil || e.state != begun && e.state != wanted {
		return nil
	}
	if s.failed { // nothing more can be kept: who waits hears so, and it stays as it is for those that come
		return s.answer(key, e, kind, result)
	}
	if kind != Result {
		result = nil
	}
	e.state, e.kind, e.result = ending, kind, append([]byte(nil), result...)
	e.seq = s.write(kind, key, e.result)
	s.pending = append(s.pending, key)
	return nil
}

// Durable says that all records up to that one are on the disk, and gives what may happen now.
func (s *Store) Durable(seq uint64) (out []Outcome) {
	s.durable = max(s.durable, seq)
	for len(s.pending) > 0 {
		key := s.pending[0]
		e := s.entries[key]
		if e == nil || e.state != wanted && e.state != ending {
			s.pending = s.pending[1:]
			continue
		}
		if e.seq > s.durable {
			return out
		}
		s.pending = s.pending[1:]
		if e.state == wanted {
			e.state = begun
			out = append(out, Outcome{ID: e.first, Verdict: Begin})
			continue
		}
		out = append(out, s.answer(key, e, e.kind, e.result)...)
	}
	return out
}

// answer ends a key: all that wait for it hear.
func (s *Store) answer(key Key, e *entry, kind Kind, result []byte) (out []Outcome) {
	e.kind, e.result, e.state, e.at = kind, result, ended, s.now
	for _, id := range append([]uint64{e.first}, e.waiting...) {
		o := Outcome{ID: id, Verdict: e.verdict()}
		if o.Verdict == Repeat {
			o.Result = result
		}
		out = append(out, o)
	}
	e.waiting = nil
	if kind == Never {
		delete(s.entries, key)
		return out
	}
	s.bytes += len(result)
	s.order = append(s.order, key)
	for s.bytes > s.cfg.Bytes && s.ageOldest() {
	}
	return out
}

// Tidy ages what has ended long ago.
func (s *Store) Tidy(now time.Duration) {
	s.clock(now)
	for len(s.order) > 0 {
		e := s.entries[s.order[0]]
		if e != nil && s.now-e.at < s.cfg.Lifetime {
			return
		}
		if !s.ageOldest() {
			return
		}
	}
}

// ageOldest leaves of the key that ended first only its print, and tells whether there was one.
func (s *Store) ageOldest() bool {
	for len(s.order) > 0 {
		key := s.order[0]
		s.order = s.order[1:]
		if e := s.entries[key]; e != nil && (e.state == ended || e.state == doubted) {
			s.age(key, e)
			if !s.failed {
				s.write(Aged, key, nil)
			}
			return true
		}
	}
	return false
}

func (s *Store) age(key Key, e *entry) {
	s.bytes -= len(e.result)
	delete(s.entries, key)
	s.epochs[len(s.epochs)-1].prints.Add(key[:])
}

// DiskFailed says that nothing more can be written. What waits for its intent was never begun and hears so; results whose
// record is lost are answered: their runs have ended, and a repeat meets the key as long as this process lives.
func (s *Store) DiskFailed() (out []Outcome) {
	s.failed, s.out = true, nil
	for _, key := range s.pending {
		e := s.entries[key]
		switch {
		case e == nil:
		case e.state == wanted:
			for _, id := range append([]uint64{e.first}, e.waiting...) {
				out = append(out, Outcome{ID: id, Verdict: Unguarded})
			}
			delete(s.entries, key)
		case e.state == ending:
			out = append(out, s.answer(key, e, e.kind, e.result)...)
		}
	}
	s.pending = nil
	return out
}

// Load takes a record that was written by an earlier life, in its order; Restarted ends them.
func (s *Store) Load(r Record) {
	s.seq = max(s.seq, r.Seq)
	s.clock(r.At)
	e := s.entries[r.Key]
	switch r.Kind {
	case Intent:
		s.entries[r.Key] = &entry{state: doubted, at: r.At}
	case Result, Failed:
		if e != nil && e.state == doubted {
			s.answer(r.Key, e, r.Kind, append([]byte(nil), r.Result...))
		}
	case Never:
		delete(s.entries, r.Key)
	case Aged:
		if e != nil {
			s.age(r.Key, e)
		}
	}
}

// Restarted ends loading: intents without an end are in doubt, and age like the others.
func (s *Store) Restarted(now time.Duration) {
	s.clock(now)
	s.durable, s.out = s.seq, nil
	for key, e := range s.entries { // the order among those in doubt does not matter: all are older than what follows
		if e.state == doubted {
			s.order = append(s.order, key)
		}
	}
}
