package overload

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"frosthub/internal/golden"
)

// TestTraces plays the events of each trace file and compares the resulting actions with those in the file. A line
// that begins with "set" changes a setting, a line that begins with a time is an event, and the indented lines below
// it are the actions. # starts a comment, and an empty line ends a batch.
func TestTraces(t *testing.T) { golden.CheckTraces(t, 1, playTrace) }

// maxUnsummarizedBatch is the largest number of events in a batch for which each action is printed. In larger
// batches, consecutive actions of the same kind are printed as a count.
const maxUnsummarizedBatch = 20

func playTrace(t *testing.T, text string) string {
	t.Helper()
	p := &tracePlayer{settings: standardSettings()}
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if strings.HasPrefix(line, " ") {
			continue // an action of the recorded trace
		}
		code, _, _ := strings.Cut(line, "#")
		words := strings.Fields(code)
		switch {
		case len(words) == 0:
			p.flush()
		case words[0] == "set":
			changeSetting(t, &p.settings, words[1], words[2])
		default:
			p.addEvent(t, words)
		}
		p.out.WriteString(line + "\n")
	}
	p.flush()
	return p.out.String()
}

// tracePlayer collects the events of a batch, which have the same time.
type tracePlayer struct {
	settings   Settings
	controller *Controller // nil before the first event
	now        time.Duration
	batch      []Event
	out        strings.Builder
}

func (p *tracePlayer) addEvent(t *testing.T, words []string) {
	t.Helper()
	at, err := time.ParseDuration(words[0])
	if err != nil {
		t.Fatal(words, err)
	}
	if p.controller == nil {
		p.controller = New(1, p.settings, at)
	}
	if at != p.now {
		p.flush()
		p.now = at
	}
	event, times := parseEvent(t, words[1:])
	for range times {
		p.batch = append(p.batch, event)
		event.ID++
	}
}

// flush passes the batch to the controller and prints the resulting actions.
func (p *tracePlayer) flush() {
	if len(p.batch) == 0 {
		return
	}
	suppressed := 0
	last := ActionKind(0)
	for _, action := range append(p.controller.Handle(p.now, p.batch), Action{Kind: SetTimer}) {
		if action.Kind == last && len(p.batch) > maxUnsummarizedBatch {
			suppressed++
			continue
		}
		if suppressed > 0 {
			fmt.Fprintf(&p.out, "    and %d more alike\n", suppressed)
		}
		if action.Kind != SetTimer { // occurs every 25 ms
			fmt.Fprintf(&p.out, "    %s\n", formatAction(action))
		}
		suppressed = 0
		last = action.Kind
	}
	p.batch = nil
}

// parseEvent parses an event without its time. times is the number of copies to play, with consecutive IDs.
func parseEvent(t *testing.T, words []string) (event Event, times int) {
	t.Helper()
	kind, ok := valueByName(words[0], Arrived, Drain)
	if !ok {
		t.Fatal("unknown event", words)
	}
	event = Event{Kind: kind, SizeKB: 1}
	times = 1
	for _, word := range words[1:] {
		name, value, named := strings.Cut(word, "=")
		switch {
		case !named:
			parseOutcomeOrID(t, &event, word)
		case name == "times":
			times = parseInt(t, value)
		default:
			parseEventField(t, &event, name, value)
		}
	}
	return event, times
}

func parseOutcomeOrID(t *testing.T, event *Event, word string) {
	t.Helper()
	if outcome, ok := valueByName(word, OK, NeverRan); ok {
		event.Outcome = outcome
		return
	}
	event.ID = uint64(parseInt(t, word))
}

func parseEventField(t *testing.T, event *Event, name, value string) {
	t.Helper()
	switch name {
	case "handler":
		event.Handler = parseInt(t, value)
	case "edge-node":
		event.EdgeNode = parseInt(t, value)
	case "customer":
		event.Customer = parseInt(t, value)
	case "remaining":
		event.Remaining = parseDuration(t, value)
	case "delay":
		event.QueueDelay = parseDuration(t, value)
	case "repeat-of":
		event.RepeatOf = uint64(parseInt(t, value))
	case "subject":
		event.Resource = value
	case "size":
		event.SizeKB = parseFloat(t, value)
	case "took":
		event.Took = parseDuration(t, value)
	case "busy", "runnable":
		event.Gauges = append(event.Gauges, parseFloat(t, value))
	default:
		t.Fatal("unknown field", name)
	}
}

func formatAction(a Action) string {
	switch a.Kind {
	case Reject:
		text := fmt.Sprintf("%v %d", a.Kind, a.ID)
		if a.RetryAfter > 0 {
			text += fmt.Sprintf(" retry-after %v", a.RetryAfter.Round(time.Millisecond))
		}
		if a.NoRetry {
			text += " no-retry"
		}
		return text
	case Call, StoreEntry:
		return fmt.Sprintf("%v %d for %v", a.Kind, a.ID, a.Duration)
	case Health:
		return fmt.Sprintf("%v healthy=%v", a.Kind, a.Healthy)
	case Signal:
		return fmt.Sprintf("%v %.3f", a.Kind, a.Value)
	case CloseIdle:
		return fmt.Sprintf("%v %v", a.Kind, a.Duration)
	}
	return fmt.Sprintf("%v %d", a.Kind, a.ID)
}

// valueByName returns the enumeration value between first and last that has the given name.
func valueByName[E interface {
	~uint8
	fmt.Stringer
}](name string, first, last E) (value E, found bool) {
	for e := first; e <= last; e++ {
		if e.String() == name {
			return e, true
		}
	}
	return 0, false
}

func parseInt(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseFloat(t *testing.T, text string) float64 {
	t.Helper()
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
