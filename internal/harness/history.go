package harness

import (
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// HistoryEvent is one operation on a key: a run that started, or a response, between its request and its arrival. All times are of one
// clock.
type HistoryEvent struct {
	Key          string
	Ran          bool // a run; otherwise a response
	Served       bool // of a response: a result; otherwise an error
	Result       string
	Asked, Heard int64 // when the operation was invoked and when it returned
}

// keyState is the state of a key in the sequential specification.
type keyState struct {
	ran    bool
	served bool
	result string
}

// step reports whether an event may follow in the state, and the state after it: a key runs once, each result is that of its run, and
// no error follows a result.
func (s keyState) step(event HistoryEvent) (bool, keyState) {
	switch {
	case event.Ran:
		return !s.ran, keyState{ran: true, result: event.Result}
	case event.Served:
		return s.ran && s.result == event.Result, keyState{ran: s.ran, served: true, result: s.result}
	}
	return !s.served, s
}

// Linearizable reports whether the events of each key are linearizable. If not, it describes the history of a key that is not.
func Linearizable(events []HistoryEvent) (violation string, ok bool) {
	histories := map[string][]porcupine.Operation{}
	for i, event := range events {
		operation := porcupine.Operation{ClientId: i, Input: event, Call: event.Asked, Return: event.Heard}
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

// describeHistory returns the key and its events in the order of their invocation, a line each.
func describeHistory(key string, history []porcupine.Operation) string {
	slices.SortFunc(history, func(x, y porcupine.Operation) int { return int(x.Call - y.Call) })
	var text strings.Builder
	text.WriteString(key)
	for _, operation := range history {
		_, _ = fmt.Fprintf(&text, "\n  %+v", operation.Input)
	}
	return text.String()
}
