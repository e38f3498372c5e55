// Package simproto speaks the simulator's wire: batches of events in, one reply per batch out.
// Names and units of the wire end here; all decisions are in package overload.
package simproto

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"frosthub/internal/settings"
	"frosthub/overload"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

type instance struct {
	id     uint64
	ctl    *overload.Controller
	events []overload.Event
	queued bool
	failed bool
}

type host struct {
	parser fastjson.Parser
	live   map[uint64]*instance
	order  []*instance // those with something to handle in this batch
	out    []byte
	seq    uint64
	now    time.Duration
}

const maxLine = 64 << 20

// Serve answers batches from r on w until the input ends. It returns an error for input that can't be
// understood: it never guesses.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{live: map[uint64]*instance{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 1<<16), maxLine)
	open := false
	for sc.Scan() {
		line := sc.Bytes()
		if len(line) == 0 {
			continue
		}
		v, err := h.parser.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("batch %d: a line is not JSON: %w", h.seq, err)
		}
		if v.Type() != fastjson.TypeObject {
			return fmt.Errorf("batch %d: a line is not an object", h.seq)
		}
		kind := string(v.GetStringBytes("kind"))
		switch kind {
		case "clock":
			if open {
				return fmt.Errorf("batch %d: a new batch begins before its end", h.seq)
			}
			if v.Get("seq") == nil || v.Get("simTimeUs") == nil {
				return fmt.Errorf("batch after %d: clock or number missing", h.seq)
			}
			open = true
			h.seq = v.GetUint64("seq")
			h.now = time.Duration(v.GetInt64("simTimeUs")) * time.Microsecond
			h.out, h.order = h.out[:0], h.order[:0]
		case "commit":
			if !open {
				return fmt.Errorf("batch after %d: an end without a beginning", h.seq)
			}
			open = false
			h.finish()
			if _, err := w.Write(h.out); err != nil {
				return fmt.Errorf("batch %d: %w", h.seq, err)
			}
		default:
			if !open {
				return fmt.Errorf("batch after %d: an event outside a batch", h.seq)
			}
			if err := h.event(kind, v); err != nil {
				return fmt.Errorf("batch %d: %w", h.seq, err)
			}
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("batch %d: %w", h.seq, err)
	}
	if open {
		return fmt.Errorf("batch %d: the input ends before the batch does", h.seq)
	}
	return nil
}

var errUnknown = errors.New("event for an unknown instance")

func (h *host) event(kind string, v *fastjson.Value) error {
	who := v.GetUint64("who")
	in := h.live[who]
	switch kind {
	case "up":
		in = &instance{id: who}
		h.live[who] = in
		seed := v.GetUint64("rngSeed")
		env := settings.Decode(v.Get("env"))
		h.guard(in, func() { in.ctl = overload.New(seed, env, h.now) })
		h.queue(in)
		return nil
	case "killed":
		if in == nil {
			return fmt.Errorf("%w: %d", errUnknown, who)
		}
		delete(h.live, who)
		return nil
	}
	e, known := decode(kind, v)
	if !known {
		return nil
	}
	if in == nil {
		return fmt.Errorf("%w: %d", errUnknown, who)
	}
	in.events = append(in.events, e)
	h.queue(in)
	return nil
}

func (h *host) queue(in *instance) {
	if !in.queued {
		in.queued = true
		h.order = append(h.order, in)
	}
}

// finish lets every instance with news decide, and closes the reply.
func (h *host) finish() {
	for _, in := range h.order {
		in.queued = false
		if h.live[in.id] == in && !in.failed {
			h.guard(in, func() {
				for _, a := range in.ctl.Handle(h.now, in.events) {
					h.out = encode(h.out, in.id, a)
				}
			})
		}
		in.events = in.events[:0]
	}
	h.out = append(h.out, `{"kind":"eor","seq":`...)
	h.out = strconv.AppendUint(h.out, h.seq, 10)
	h.out = append(h.out, "}\n"...)
}

// guard reports a panic of the module as an internal error of that instance, with the reason.
func (h *host) guard(in *instance, f func()) {
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			h.out = append(h.out, `{"kind":"internalError","who":`...)
			h.out = strconv.AppendUint(h.out, in.id, 10)
			h.out = append(h.out, `,"what":`...)
			what, _ := json.Marshal(fmt.Sprint(p))
			h.out = append(append(h.out, what...), "}\n"...)
		}
	}()
	f()
}

var outcomes = map[string]overload.Outcome{
	"Ok": overload.OK, "Failed": overload.Failed, "QueueFull": overload.Overloaded, "TimedOut": overload.TimedOut,
	"ConnectError": overload.NoConnection, "ResetByPeer": overload.BrokenOff, "Canceled": overload.Stopped,
	"Ignored": overload.NeverRan,
}

const hintValid, furtherTry, isWrite = 1, 2, 4

func us(v *fastjson.Value, name string) time.Duration { return settings.Micros(v.GetFloat64(name)) }

func decode(kind string, v *fastjson.Value) (overload.Event, bool) {
	e := overload.Event{ID: v.GetUint64("txn")}
	switch kind {
	case "query":
		attrs := v.GetInt("attrs")
		e.Kind, e.Handler, e.Customer = overload.Arrived, v.GetInt("tierClass"), v.GetInt("owner")
		e.Subject, e.Remaining, e.Delay = string(v.GetStringBytes("resource")), us(v, "budgetUs"), us(v, "queuedForUs")
		e.Size, e.ValueRank, e.Caller = v.GetFloat64("sizeKb"), v.GetFloat64("rank"), v.GetInt("neighbour")
		e.RepeatOf, e.Retry, e.Write = v.GetUint64("dupOf"), attrs&furtherTry != 0, attrs&isWrite != 0
		if attrs&hintValid != 0 {
			e.Hint = us(v, "costUs")
		}
	case "result", "callEnded":
		e.Kind = overload.Ended
		if kind == "callEnded" {
			e.Kind = overload.CallEnded
		}
		e.Outcome, e.Took = outcomes[string(v.GetStringBytes("verdict"))], us(v, "waitTimeUs")
	case "dropped":
		e.Kind = overload.ClientGone
	case "stalledOnCall":
		e.Kind = overload.NeedsCall
	case "tickDue":
		e.Kind = overload.Timer
		for _, g := range v.GetArray("metrics") {
			e.Gauges = append(e.Gauges, g.GetFloat64())
		}
	case "notice":
		e.Kind, e.Remaining = overload.Drain, us(v, "budgetUs")
	default:
		return e, false
	}
	return e, true
}

var kinds = map[overload.ActionKind]string{
	overload.Start: "admit", overload.Cancel: "yank", overload.Reject: "turnAway", overload.Fail: "reportFailure",
	overload.Call: "dial", overload.SkipCall: "degrade", overload.Remember: "storeKey",
	overload.Forget: "releaseKey", overload.Coalesce: "attach", overload.Health: "readiness",
	overload.Signal: "advertise", overload.Wake: "sleep", overload.CloseIdle: "closeIdle",
}

func encode(b []byte, who uint64, a overload.Action) []byte {
	b = append(append(append(b, `{"kind":"`...), kinds[a.Kind]...), `","who":`...)
	b = strconv.AppendUint(b, who, 10)
	number := func(name string, n int64) {
		b = strconv.AppendInt(append(append(append(b, `,"`...), name...), `":`...), n, 10)
	}
	switch a.Kind {
	case overload.Health:
		b = strconv.AppendBool(append(b, `,"cheap":`...), a.Shallow)
		b = strconv.AppendBool(append(b, `,"want":`...), a.Healthy)
	case overload.Signal:
		b = strconv.AppendFloat(append(b, `,"value":`...), a.Value, 'f', 4, 64)
	case overload.Wake:
		number("whenUs", a.At.Microseconds())
		number("handle", 1)
	case overload.CloseIdle:
		number("keepForUs", a.Duration.Microseconds())
	default:
		number("txn", int64(a.ID))
	}
	switch a.Kind {
	case overload.Reject:
		if a.RetryAfter > 0 {
			number("retryAfterUs", a.RetryAfter.Microseconds())
		}
		if a.NoRetry {
			b = append(b, `,"dontRetry":true`...)
		}
	case overload.Call:
		number("timeoutUs", a.Duration.Microseconds())
	case overload.Remember:
		number("keepForUs", a.Duration.Microseconds())
	}
	return append(b, "}\n"...)
}
