// Package simproto speaks the simulator's protocol: lines of JSON, batches of events in, one reply per batch out.
// The protocol's names and units end here; all decisions are in package overload.
//
// A batch is a "clock" line with the simulated time, events of any number of instances, and a "commit" line. The
// reply has the actions of each instance that had events, in the order of the first ones, and an "eor" line.
package simproto

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"frosthub/internal/settings"
	"frosthub/overload"

	"github.com/valyala/fastjson"
)

const (
	initialLineBuffer = 64 << 10 // bytes
	maxLine           = 64 << 20 // bytes; a longer line is an error
)

// The errors of an input that can't be understood. Serve wraps them with the number of the batch.
var (
	ErrNotJSON         = errors.New("a line is not JSON")
	ErrNotObject       = errors.New("a line is not an object")
	ErrNestedBatch     = errors.New("a new batch begins before its end")
	ErrNoClock         = errors.New("clock or number missing")
	ErrEndOutside      = errors.New("an end without a beginning")
	ErrEventOutside    = errors.New("an event outside a batch")
	ErrUnknownInstance = errors.New("event for an unknown instance")
	ErrTruncated       = errors.New("the input ends before the batch does")
)

// Serve answers the batches that it reads from r on w, until the input ends. It returns an error for input that can't
// be understood: it never guesses.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{instances: map[uint64]*instance{}, out: w}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, initialLineBuffer), maxLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := s.handleLine(lines.Bytes()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return s.inBatch(err)
	}
	if s.batchOpen {
		return s.inBatch(ErrTruncated)
	}
	return nil
}

// instance is one simulated server.
type instance struct {
	id         uint64
	controller *overload.Controller
	events     []overload.Event // of the batch
	queued     bool             // listed in server.pending
	failed     bool             // its controller panicked: it decides nothing any more
}

// server holds the state between lines.
type server struct {
	parser    fastjson.Parser
	instances map[uint64]*instance
	out       io.Writer

	batchOpen bool
	batch     uint64        // number of the batch, the last one if none is open
	now       time.Duration // simulated time of the batch
	pending   []*instance   // those with events in the batch, in the order of their first ones
	reply     []byte
}

// inBatch says in which batch an error occurred.
func (s *server) inBatch(err error) error { return fmt.Errorf("batch %d: %w", s.batch, err) }

// afterBatch says after which batch an error occurred.
func (s *server) afterBatch(err error) error { return fmt.Errorf("batch after %d: %w", s.batch, err) }

// handleLine handles one line of the input.
func (s *server) handleLine(line []byte) error {
	v, err := s.parser.ParseBytes(line)
	if err != nil {
		return s.inBatch(fmt.Errorf("%w: %w", ErrNotJSON, err))
	}
	if v.Type() != fastjson.TypeObject {
		return s.inBatch(ErrNotObject)
	}
	switch kind := string(v.GetStringBytes("kind")); kind {
	case "clock":
		return s.beginBatch(v)
	case "commit":
		return s.commitBatch()
	default:
		if !s.batchOpen {
			return s.afterBatch(ErrEventOutside)
		}
		if err := s.handleEvent(kind, v); err != nil {
			return s.inBatch(err)
		}
		return nil
	}
}

// beginBatch opens a batch.
func (s *server) beginBatch(v *fastjson.Value) error {
	if s.batchOpen {
		return s.inBatch(ErrNestedBatch)
	}
	if v.Get("seq") == nil || v.Get("simTimeUs") == nil {
		return s.afterBatch(ErrNoClock)
	}
	s.batchOpen = true
	s.batch = v.GetUint64("seq")
	s.now = time.Duration(v.GetInt64("simTimeUs")) * time.Microsecond
	s.reply = s.reply[:0]
	s.pending = s.pending[:0]
	return nil
}

// commitBatch lets every instance with events decide, and writes the reply.
func (s *server) commitBatch() error {
	if !s.batchOpen {
		return s.afterBatch(ErrEndOutside)
	}
	s.batchOpen = false
	for _, in := range s.pending {
		in.queued = false
		if s.instances[in.id] == in && !in.failed {
			s.decide(in)
		}
		in.events = in.events[:0]
	}
	s.reply = append(s.reply, `{"kind":"eor","seq":`...)
	s.reply = strconv.AppendUint(s.reply, s.batch, 10)
	s.reply = append(s.reply, "}\n"...)
	if _, err := s.out.Write(s.reply); err != nil {
		return s.inBatch(err)
	}
	return nil
}

// decide appends the actions of an instance to the reply.
func (s *server) decide(in *instance) {
	s.guard(in, func() {
		for _, action := range in.controller.Handle(s.now, in.events) {
			s.reply = appendAction(s.reply, in.id, action)
		}
	})
}

// handleEvent takes up one event. Kinds that aren't known are skipped.
func (s *server) handleEvent(kind string, v *fastjson.Value) error {
	id := v.GetUint64("who")
	switch kind {
	case "up":
		s.start(id, v)
		return nil
	case "killed":
		if s.instances[id] == nil {
			return fmt.Errorf("%w: %d", ErrUnknownInstance, id)
		}
		delete(s.instances, id)
		return nil
	}
	event, known := decodeEvent(kind, v)
	if !known {
		return nil
	}
	in := s.instances[id]
	if in == nil {
		return fmt.Errorf("%w: %d", ErrUnknownInstance, id)
	}
	in.events = append(in.events, event)
	s.markPending(in)
	return nil
}

// start makes a new instance, in place of an earlier one of the same number.
func (s *server) start(id uint64, v *fastjson.Value) {
	in := &instance{id: id}
	s.instances[id] = in
	seed := v.GetUint64("rngSeed")
	decoded := settings.Decode(v.Get("env"))
	s.guard(in, func() { in.controller = overload.New(seed, decoded, s.now) })
	s.markPending(in)
}

func (s *server) markPending(in *instance) {
	if !in.queued {
		in.queued = true
		s.pending = append(s.pending, in)
	}
}

// guard calls f, and reports a panic as an internal error of the instance.
func (s *server) guard(in *instance, f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			in.failed = true
			s.reply = append(s.reply, `{"kind":"internalError","who":`...)
			s.reply = strconv.AppendUint(s.reply, in.id, 10)
			s.reply = append(s.reply, `,"what":`...)
			what, _ := json.Marshal(fmt.Sprint(reason)) // a string always has a JSON form
			s.reply = append(s.reply, what...)
			s.reply = append(s.reply, "}\n"...)
		}
	}()
	f()
}
