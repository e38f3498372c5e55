package harness

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// HistoryEvent is one operation on a key: the start of a run, or a request with its response. All times are of the same clock.
type HistoryEvent struct {
	Key                   string
	Ran                   bool // set for a run, not for a response
	Served                bool // for a response: it carries a result, not an error
	Result                string
	InvokedAt, ReturnedAt int64 // times at which the operation was invoked and returned
}

// keyState is the state of a key in the sequential specification of the linearizability check.
type keyState struct {
	ran    bool
	served bool
	result string
}

// step reports whether an event is allowed in the state, and returns the next state. A key runs once, each result equals that of its
// run, and no error follows a result.
func (s keyState) step(event HistoryEvent) (bool, keyState) {
	switch {
	case event.Ran:
		return !s.ran, keyState{ran: true, result: event.Result}
	case event.Served:
		return s.ran && s.result == event.Result, keyState{ran: s.ran, served: true, result: s.result}
	}
	return !s.served, s
}

// Linearizable reports whether the events of each key are linearizable. If not, it describes the history of one key that violates this.
func Linearizable(events []HistoryEvent) (violation string, ok bool) {
	histories := map[string][]porcupine.Operation{}
	for i, event := range events {
		operation := porcupine.Operation{ClientId: i, Input: event, Call: event.InvokedAt, Return: event.ReturnedAt}
		histories[event.Key] = append(histories[event.Key], operation)
	}
	model := porcupine.Model{
		Init: func() any { return keyState{} },
		Step: func(state, input, _ any) (bool, any) {
			ok, next := state.(keyState).step(input.(HistoryEvent))
			return ok, next
		},
	}
	for key, history := range histories {
		if !porcupine.CheckOperations(model, history) {
			return describeHistory(key, history), false
		}
	}
	return "", true
}

// describeHistory returns the key and its events in order of invocation, one per line.
func describeHistory(key string, history []porcupine.Operation) string {
	slices.SortFunc(history, func(x, y porcupine.Operation) int { return int(x.Call - y.Call) })
	var text strings.Builder
	text.WriteString(key)
	for _, operation := range history {
		_, _ = fmt.Fprintf(&text, "\n  %+v", operation.Input)
	}
	return text.String()
}
