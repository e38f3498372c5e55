// Package simproto implements the protocol of the simulator, which sends batches of events as lines of JSON and
// receives one reply per batch. The package converts the names and units of the protocol; package overload makes all
// decisions.
//
// A batch is a "clock" line with the simulated time, events of any number of instances, and a "commit" line. The
// reply has the actions of each instance with events, ordered by the first event of each instance, and an "eor" line.
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

// Errors for invalid input. Serve wraps them with the number of the batch.
var (
	ErrNotJSON            = errors.New("line is not JSON")
	ErrNotObject          = errors.New("line is not a JSON object")
	ErrNestedBatch        = errors.New("clock line inside an open batch")
	ErrIncompleteClock    = errors.New("clock line without a batch number or a time")
	ErrCommitOutsideBatch = errors.New("commit line outside a batch")
	ErrEventOutsideBatch  = errors.New("event outside a batch")
	ErrUnknownInstance    = errors.New("event for an unknown instance")
	ErrTruncated          = errors.New("input ends inside a batch")
)

// Serve reads batches from r and writes the replies to w, until the input ends. It returns an error for invalid input
// and does not try to continue after it.
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
		return s.batchError(err)
	}
	if s.batchOpen {
		return s.batchError(ErrTruncated)
	}
	return nil
}

// instance is one simulated server.
type instance struct {
	id         uint64
	controller *overload.Controller
	events     []overload.Event // events of the current batch
	queued     bool             // listed in server.pending
	failed     bool             // the controller panicked, so it handles no more events
}

// server is the state of Serve between lines.
type server struct {
	parser    fastjson.Parser
	instances map[uint64]*instance
	out       io.Writer

	batchOpen bool
	batch     uint64        // number of the open batch, or of the last one if none is open
	now       time.Duration // simulated time of the batch
	pending   []*instance   // instances with events in the batch, ordered by their first event
	reply     []byte
}

// batchError adds the number of the current batch to an error.
func (s *server) batchError(err error) error { return fmt.Errorf("batch %d: %w", s.batch, err) }

// afterBatchError adds the number of the previous batch to an error that occurred outside a batch.
func (s *server) afterBatchError(err error) error {
	return fmt.Errorf("after batch %d: %w", s.batch, err)
}

// handleLine handles one line of the input.
func (s *server) handleLine(line []byte) error {
	v, err := s.parser.ParseBytes(line)
	if err != nil {
		return s.batchError(fmt.Errorf("%w: %w", ErrNotJSON, err))
	}
	if v.Type() != fastjson.TypeObject {
		return s.batchError(ErrNotObject)
	}
	switch kind := string(v.GetStringBytes("kind")); kind {
	case "clock":
		return s.beginBatch(v)
	case "commit":
		return s.commitBatch()
	default:
		if !s.batchOpen {
			return s.afterBatchError(ErrEventOutsideBatch)
		}
		if err := s.handleEvent(kind, v); err != nil {
			return s.batchError(err)
		}
		return nil
	}
}

// beginBatch opens a batch.
func (s *server) beginBatch(v *fastjson.Value) error {
	if s.batchOpen {
		return s.batchError(ErrNestedBatch)
	}
	if v.Get("seq") == nil || v.Get("simTimeUs") == nil {
		return s.afterBatchError(ErrIncompleteClock)
	}
	s.batchOpen = true
	s.batch = v.GetUint64("seq")
	s.now = time.Duration(v.GetInt64("simTimeUs")) * time.Microsecond
	s.reply = s.reply[:0]
	s.pending = s.pending[:0]
	return nil
}

// commitBatch runs the controllers of all instances with events, and writes the reply.
func (s *server) commitBatch() error {
	if !s.batchOpen {
		return s.afterBatchError(ErrCommitOutsideBatch)
	}
	s.batchOpen = false
	for _, inst := range s.pending {
		inst.queued = false
		if s.instances[inst.id] == inst && !inst.failed {
			s.runController(inst)
		}
		inst.events = inst.events[:0]
	}
	s.reply = append(s.reply, `{"kind":"eor","seq":`...)
	s.reply = strconv.AppendUint(s.reply, s.batch, 10)
	s.reply = append(s.reply, "}\n"...)
	if _, err := s.out.Write(s.reply); err != nil {
		return s.batchError(err)
	}
	return nil
}

// runController appends the actions of an instance to the reply.
func (s *server) runController(inst *instance) {
	s.recoverPanic(inst, func() {
		for _, action := range inst.controller.Handle(s.now, inst.events) {
			s.reply = appendAction(s.reply, inst.id, action)
		}
	})
}

// handleEvent handles one event. It ignores events of unknown kinds.
func (s *server) handleEvent(kind string, v *fastjson.Value) error {
	id := v.GetUint64("who")
	switch kind {
	case "up":
		s.startInstance(id, v)
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
	inst := s.instances[id]
	if inst == nil {
		return fmt.Errorf("%w: %d", ErrUnknownInstance, id)
	}
	inst.events = append(inst.events, event)
	s.markPending(inst)
	return nil
}

// startInstance creates an instance, which replaces an earlier one with the same number.
func (s *server) startInstance(id uint64, v *fastjson.Value) {
	inst := &instance{id: id}
	s.instances[id] = inst
	seed := v.GetUint64("rngSeed")
	decoded := settings.Decode(v.Get("env"))
	s.recoverPanic(inst, func() { inst.controller = overload.New(seed, decoded, s.now) })
	s.markPending(inst)
}

func (s *server) markPending(inst *instance) {
	if !inst.queued {
		inst.queued = true
		s.pending = append(s.pending, inst)
	}
}

// recoverPanic calls f, and reports a panic as an internal error of the instance.
func (s *server) recoverPanic(inst *instance, f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			inst.failed = true
			s.reply = append(s.reply, `{"kind":"internalError","who":`...)
			s.reply = strconv.AppendUint(s.reply, inst.id, 10)
			s.reply = append(s.reply, `,"what":`...)
			what, _ := json.Marshal(fmt.Sprint(reason)) // encoding a string never fails
			s.reply = append(s.reply, what...)
			s.reply = append(s.reply, "}\n"...)
		}
	}()
	f()
}
