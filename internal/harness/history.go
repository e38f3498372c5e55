package harness

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
)

// HistoryEvent is what somebody saw of a key: a run that began, or an answer between asking and hearing it. Times are of one clock.
type HistoryEvent struct {
	Key          string
	Ran          bool
	Served       bool // else errored
	Result       string
	Asked, Heard int64
}

// keyState is what a key's history has come to.
type keyState struct {
	ran, served bool
	result      string
}

// step tells whether an event may follow, and what then is so: one run; answers are its result, and none is an error after the first.
func (s keyState) step(e HistoryEvent) (bool, keyState) {
	switch {
	case e.Ran:
		return !s.ran, keyState{ran: true, result: e.Result}
	case e.Served:
		return s.ran && s.result == e.Result, keyState{s.ran, true, s.result}
	}
	return !s.served, s
}

// Linearizable tells whether each key's events can have happened one after the other, each within its time, and names a key for which not.
func Linearizable(events []HistoryEvent) (bad string, ok bool) {
	keys := map[string][]porcupine.Operation{}
	for i, e := range events {
		keys[e.Key] = append(keys[e.Key], porcupine.Operation{ClientId: i, Input: e, Call: e.Asked, Return: e.Heard})
	}
	model := porcupine.Model{
		Init: func() any { return keyState{} },
		Step: func(state, input, _ any) (bool, any) {
			ok, next := state.(keyState).step(input.(HistoryEvent))
			return ok, next
		},
	}
	for key, history := range keys {
		if !porcupine.CheckOperations(model, history) {
			slices.SortFunc(history, func(x, y porcupine.Operation) int { return int(x.Call - y.Call) })
			text := key
			for _, op := range history {
				text += fmt.Sprintf("\n  %+v", op.Input)
			}
			return text, false
		}
	}
	return "", true
}
